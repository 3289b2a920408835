package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.model.KeyHash;
import java.util.function.Function;

/** Result of authenticating a caller by its key. */
public sealed interface AuthenticationResult {

  /**
   * Applies the function for the actual case.
   *
   * @param accepted applied to an accepted key
   * @param rejected applied to a rejected key
   * @return result of the function
   */
  <T> T fold(Function<Accepted, T> accepted, Function<Rejected, T> rejected);

  /**
   * The key is valid.
   *
   * @param hash hash of the key
   * @param customer customer to which the key belongs
   */
  record Accepted(KeyHash hash, CustomerSpec customer) implements AuthenticationResult {
    @Override
    public <T> T fold(Function<Accepted, T> accepted, Function<Rejected, T> rejected) {
      return accepted.apply(this);
    }
  }

  /**
   * The key is not accepted.
   *
   * @param kind kind of error to report
   */
  record Rejected(ErrorKind kind) implements AuthenticationResult {
    @Override
    public <T> T fold(Function<Accepted, T> accepted, Function<Rejected, T> rejected) {
      return rejected.apply(this);
    }
  }
}
