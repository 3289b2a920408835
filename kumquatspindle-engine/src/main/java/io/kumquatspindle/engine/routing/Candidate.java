package io.kumquatspindle.engine.routing;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;

/**
 * An endpoint that could take a request.
 *
 * @param endpoint the endpoint
 * @param failureDomain the failure domain that it runs in
 * @param reported requests that run or wait there according to its last report
 * @param sentSince requests that this VM has sent since that report
 * @param capacity requests that it runs at once at full speed; 0 if it has not reported
 * @param leaving whether it gets no new work
 * @param recentlyFailed whether a request to it failed a short time ago
 */
public record Candidate(
    EndpointName endpoint,
    FailureDomain failureDomain,
    int reported,
    int sentSince,
    int capacity,
    boolean leaving,
    boolean recentlyFailed) {

  /**
   * Returns the load relative to the capacity.
   *
   * @return 1.0 for an endpoint that is exactly full
   */
  public double load() {
    return (double) (reported + sentSince) / Math.max(1, capacity);
  }
}
