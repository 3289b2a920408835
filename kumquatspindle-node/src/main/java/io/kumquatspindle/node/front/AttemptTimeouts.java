package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CallKind;
import io.kumquatspindle.api.fleet.RouteSpec;
import io.kumquatspindle.engine.fleet.ResponseTimeEstimator;

/**
 * How long an endpoint may take for a request before it counts as stalled.
 *
 * @param route route of the request
 * @param tokens tokens of the request; 0 if unknown
 * @param responseTimes response times of the route
 */
record AttemptTimeouts(RouteSpec route, long tokens, ResponseTimeEstimator responseTimes) {
  /**
   * Lower bound of the timeout for the first byte, in ms. Several steps of an engine, or one slow
   * request, take about this long.
   */
  private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 300;

  /**
   * Time without an event after which a stream counts as stalled, as a share of the time after
   * which clients abandon it. Leaves the other half for the resumption at another endpoint.
   */
  private static final double STALLED_CLIENT_TIMEOUTS = 0.5;

  /** Minimum timeout for the first byte of a stream, in multiples of the route's goal. */
  private static final double STREAM_TIMEOUT_GOALS = 0.6;

  /** Timeout for the first byte of any other response, in multiples of the route's goal. */
  private static final double FULL_RESPONSE_TIMEOUT_GOALS = 3;

  long firstByteMs() {
    if (route.kind() != CallKind.STREAM) {
      return Math.max(
          MIN_FIRST_BYTE_TIMEOUT_MS,
          Math.round(FULL_RESPONSE_TIMEOUT_GOALS * route.latencyTargetMs()));
    }
    long min =
        Math.max(
            MIN_FIRST_BYTE_TIMEOUT_MS, Math.round(STREAM_TIMEOUT_GOALS * route.latencyTargetMs()));
    return responseTimes.timeoutMs(tokens, min, Math.max(min, stalledStreamMs()));
  }

  long stalledStreamMs() {
    return Math.round(STALLED_CLIENT_TIMEOUTS * route.clientTimeoutMs());
  }
}
