package io.kumquatspindle.api.platform;

/** The outcome of a load or unload order. */
public sealed interface OrderResult {

  /** The endpoint executed the order. */
  record Done() implements OrderResult {}

  /**
   * The endpoint certainly did not execute the order.
   *
   * @param reason why the order was rejected or not sent
   */
  record Refused(String reason) implements OrderResult {}

  /**
   * The endpoint may have executed the order or may still execute it.
   *
   * @param reason why the outcome is unknown
   */
  record Unknown(String reason) implements OrderResult {}
}
