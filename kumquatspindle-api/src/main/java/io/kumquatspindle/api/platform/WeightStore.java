package io.kumquatspindle.api.platform;

import java.util.Optional;

/** The platform's weight store, from which endpoints fetch checkpoints. */
public interface WeightStore {

  /**
   * Reads the status of the store.
   *
   * @return the status, or empty if the store does not respond
   */
  Optional<StoreStatus> status();
}
