package io.kumquatspindle.api.platform;

/** What is known about an order to an endpoint. */
public sealed interface OrderResult {

  /** The endpoint carried the order out. */
  record Done() implements OrderResult {}

  /**
   * The endpoint certainly did not carry the order out.
   *
   * @param reason the endpoint's reason
   */
  record Refused(String reason) implements OrderResult {}

  /**
   * The endpoint may carry the order out, now or later.
   *
   * @param reason why the outcome is missing
   */
  record Unknown(String reason) implements OrderResult {}
}
