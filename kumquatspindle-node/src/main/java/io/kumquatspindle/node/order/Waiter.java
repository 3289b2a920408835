package io.kumquatspindle.node.order;

/** A request that waits until an endpoint holds its model. */
public interface Waiter {

  /**
   * Returns the identity of the request, for log lines.
   *
   * @return identity that the caller gave
   */
  String requestId();

  /**
   * Returns the service that the request is for.
   *
   * @return name of the service
   */
  String service();

  /**
   * Returns the model that the request needs.
   *
   * @return name of the model
   */
  String model();

  /**
   * Returns the adapter that the request needs.
   *
   * @return name of the adapter, or empty text
   */
  String adapter();

  /**
   * Returns when the caller should have the first byte.
   *
   * @return time in ms
   */
  long goalMs();

  /**
   * Returns when the caller stops waiting for the first byte.
   *
   * @return time in ms
   */
  long deadlineMs();

  /** Goes on: an endpoint holds the model. */
  void proceed();

  /**
   * Is refused: no endpoint will hold the model in time.
   *
   * @param retryAfterMs when to come back, in ms
   */
  void refuse(long retryAfterMs);
}
