package io.kumquatspindle.standins.platform;

import java.util.concurrent.CompletableFuture;

/** Source from which simulated engines fetch checkpoints. */
@FunctionalInterface
public interface WeightSource {

  /**
   * Fetches a checkpoint.
   *
   * @param artifact the model's or adapter's name
   * @param megabytes size of the checkpoint
   * @return a future that completes when the transfer has ended, exceptionally if it failed
   */
  CompletableFuture<Void> fetch(String artifact, double megabytes);
}
