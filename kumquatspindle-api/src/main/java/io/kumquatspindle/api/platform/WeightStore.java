package io.kumquatspindle.api.platform;

import java.util.Optional;

/** The platform's weight store, from which endpoints fetch checkpoints. */
public interface WeightStore {

  /**
   * Reads the store's state.
   *
   * @return the state, or empty if the store does not answer
   */
  Optional<StoreStatus> status();
}
