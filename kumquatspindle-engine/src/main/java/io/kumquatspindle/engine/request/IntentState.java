package io.kumquatspindle.engine.request;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.Ran;

/**
 * What is known of a call with an idempotency key.
 *
 * @param customer the customer
 * @param key the idempotency key
 * @param requestDigest SHA-256 of method, path and body, in hexadecimal digits
 * @param nonce identifier of the attempt that won
 * @param timeMs log time of the record that won, in milliseconds since the epoch
 * @param ran whether the call ran; {@link Ran#UNKNOWN} until its outcome is recorded
 * @param status HTTP status that the endpoint answered, 0 if it is not known
 */
public record IntentState(
    CustomerName customer,
    String key,
    String requestDigest,
    String nonce,
    long timeMs,
    Ran ran,
    int status) {

  IntentState finished(Ran newRan, int newStatus) {
    return new IntentState(customer, key, requestDigest, nonce, timeMs, newRan, newStatus);
  }

  /**
   * Tells whether an attempt is the one that may send the call.
   *
   * @param attempt identifier of the attempt
   * @return whether its record came first
   */
  public boolean isWonBy(String attempt) {
    return nonce.equals(attempt);
  }
}
