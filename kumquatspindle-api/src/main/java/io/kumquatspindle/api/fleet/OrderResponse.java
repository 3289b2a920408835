package io.kumquatspindle.api.fleet;

/** The response of an engine to an order. */
public enum OrderResponse {
  /** The order is being executed. */
  ACCEPTED,
  /** The engine is already in the requested state. */
  HOLDS,
  /**
   * Another order is in progress, or the number of accepted orders differs from the expected one.
   */
  CONFLICT,
  /** The engine has seen a higher fencing number. */
  FENCED,
  /** The model does not exist, or the address belongs to another endpoint. */
  REJECTED,
  /** There was no response; the order may still be executed. */
  UNKNOWN
}
