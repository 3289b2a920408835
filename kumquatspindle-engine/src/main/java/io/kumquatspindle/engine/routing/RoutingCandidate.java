package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;

/**
 * An endpoint to which a request could be routed.
 *
 * @param endpoint the endpoint
 * @param failureDomain the failure domain that it runs in
 * @param reportedRequests running and waiting requests according to its last report
 * @param sentSinceReport requests that this VM has sent to it since that report
 * @param capacity requests that it runs concurrently at full speed; 0 if it has not reported
 * @param leaving whether it is being removed and gets no new requests
 * @param recentlyFailed whether a recent request to it failed
 */
public record RoutingCandidate(
    EndpointName endpoint,
    FailureDomain failureDomain,
    int reportedRequests,
    int sentSinceReport,
    int capacity,
    boolean leaving,
    boolean recentlyFailed) {

  /**
   * Returns the load relative to the capacity.
   *
   * @return the load; 1.0 if the endpoint is exactly full
   */
  public double load() {
    return (double) (reportedRequests + sentSinceReport) / Math.max(1, capacity);
  }
}
