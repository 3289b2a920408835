package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.model.KeyHash;
import java.util.function.Function;

/** Result of the check of a key. */
public sealed interface AuthenticationResult {

  /**
   * Returns the value for whichever case this is.
   *
   * @param accepted value for an accepted key
   * @param rejected value for a refused key
   * @return the value
   */
  <T> T fold(Function<Accepted, T> accepted, Function<Rejected, T> rejected);

  /**
   * The key works.
   *
   * @param hash hash of the key
   * @param customer the customer behind it
   */
  record Accepted(KeyHash hash, CustomerSpec customer) implements AuthenticationResult {
    @Override
    public <T> T fold(Function<Accepted, T> accepted, Function<Rejected, T> rejected) {
      return accepted.apply(this);
    }
  }

  /**
   * The key does not work.
   *
   * @param kind why
   */
  record Rejected(ErrorKind kind) implements AuthenticationResult {
    @Override
    public <T> T fold(Function<Accepted, T> accepted, Function<Rejected, T> rejected) {
      return rejected.apply(this);
    }
  }
}
