package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.model.KeyHash;
import java.util.function.Function;

/** Result of the check of a key. */
public sealed interface KeyResult {

  /**
   * Returns the value for whichever case this is.
   *
   * @param accepted value for an accepted key
   * @param refused value for a refused key
   * @return the value
   */
  <T> T fold(Function<Accepted, T> accepted, Function<Refused, T> refused);

  /**
   * The key works.
   *
   * @param hash hash of the key
   * @param customer the customer behind it
   */
  record Accepted(KeyHash hash, CustomerSpec customer) implements KeyResult {
    @Override
    public <T> T fold(Function<Accepted, T> accepted, Function<Refused, T> refused) {
      return accepted.apply(this);
    }
  }

  /**
   * The key does not work.
   *
   * @param kind why
   */
  record Refused(ErrorKind kind) implements KeyResult {
    @Override
    public <T> T fold(Function<Accepted, T> accepted, Function<Refused, T> refused) {
      return refused.apply(this);
    }
  }
}
