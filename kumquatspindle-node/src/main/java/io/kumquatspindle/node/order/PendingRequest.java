package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.Home;
import io.kumquatspindle.engine.fleet.RequestUrgency;

/** A request that waits until an endpoint holds its model. */
public interface PendingRequest {

  /**
   * Returns the id of the request, for log lines.
   *
   * @return id that the caller gave
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
   * Returns where the request may be sent to.
   *
   * @return the home of the request
   */
  default Home home() {
    return Home.ANYWHERE;
  }

  /**
   * Returns the time by which the caller should have the first byte.
   *
   * @return time in ms
   */
  long goalMs();

  /**
   * Returns the time at which the caller stops waiting for the first byte.
   *
   * @return time in ms
   */
  long deadlineMs();

  /**
   * Returns how urgent the request is, compared to others that wait.
   *
   * @return its urgency
   */
  RequestUrgency urgency();

  /** Continues the request; an endpoint holds the model. */
  void proceed();

  /**
   * Rejects the request; no endpoint will hold the model in time.
   *
   * @param retryAfterMs time after which the caller may retry, in ms
   */
  void reject(long retryAfterMs);
}
