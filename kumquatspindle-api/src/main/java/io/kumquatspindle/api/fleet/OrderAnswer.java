package io.kumquatspindle.api.fleet;

/** What an engine answered to an order. */
public enum OrderAnswer {
  /** The order is being carried out. */
  ACCEPTED,
  /** The order already holds. */
  HOLDS,
  /** Another order is in progress, or the count of orders differs. */
  CONFLICT,
  /** A higher fencing number was seen. */
  FENCED,
  /** There is no such model, or another endpoint has the address. */
  REJECTED,
  /** No answer; the order may be carried out later. */
  UNKNOWN
}
