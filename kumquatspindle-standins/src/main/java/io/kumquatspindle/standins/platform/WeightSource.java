package io.kumquatspindle.standins.platform;

import java.util.concurrent.CompletableFuture;

/** Where engine stand-ins fetch checkpoints from. */
@FunctionalInterface
public interface WeightSource {

  /**
   * Fetches a checkpoint.
   *
   * @param artifact the model's or adapter's name
   * @param megabytes its size
   * @return completes when the transfer has ended, exceptionally if it failed
   */
  CompletableFuture<Void> fetch(String artifact, double megabytes);
}
