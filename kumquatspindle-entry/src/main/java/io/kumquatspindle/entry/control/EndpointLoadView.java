package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.message.EntryMessage.EndpointLoad;
import io.kumquatspindle.api.message.EntryMessage.EndpointLoads;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.engine.routing.RoutingCandidate;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Load reported for endpoints, and the requests that this VM has sent to them since the report. */
public final class EndpointLoadView {
  /** Time for which an endpoint is avoided after a failed request, in milliseconds. */
  static final long AVOID_AFTER_FAILURE_MS = 2_000;

  // Without a report, requests are assumed to have ended this long after they were sent.
  private static final long SENT_RETENTION_MS = 10_000;

  private static final class EndpointState {
    final ArrayDeque<Long> sentAtMs = new ArrayDeque<>();
    Optional<EndpointLoad> report = Optional.empty();
    long failedAtMs = Long.MIN_VALUE / 2;
  }

  private final Map<EndpointName, EndpointState> endpoints = new HashMap<>();

  /**
   * Returns an endpoint with its estimated load.
   *
   * @param spec the endpoint as configured
   * @param nowMs current time in milliseconds
   * @return the candidate
   */
  public synchronized RoutingCandidate candidate(EndpointSpec spec, long nowMs) {
    EndpointState state = endpointState(spec.name());
    discardSentBefore(state, nowMs - SENT_RETENTION_MS);
    int reported = state.report.map(r -> r.running() + r.waiting()).orElse(0);
    boolean leaving = spec.leaving() || state.report.map(EndpointLoad::leaving).orElse(false);
    return new RoutingCandidate(
        spec.name(),
        spec.failureDomain(),
        reported,
        state.sentAtMs.size(),
        state.report.map(EndpointLoad::capacity).orElse(0),
        leaving,
        nowMs - state.failedAtMs < AVOID_AFTER_FAILURE_MS);
  }

  /**
   * Counts a request that is being sent.
   *
   * @param endpoint the endpoint
   * @param nowMs current time in milliseconds
   */
  public synchronized void requestSent(EndpointName endpoint, long nowMs) {
    endpointState(endpoint).sentAtMs.addLast(nowMs);
  }

  /**
   * Records a failed request, so that the endpoint is avoided for a short time.
   *
   * @param endpoint the endpoint
   * @param nowMs current time in milliseconds
   */
  public synchronized void requestFailed(EndpointName endpoint, long nowMs) {
    endpointState(endpoint).failedAtMs = nowMs;
  }

  synchronized void update(EndpointLoads loads, long nowMs) {
    for (EndpointLoad load : loads.loads()) {
      EndpointState state = endpointState(load.endpoint());
      state.report = Optional.of(load);
      discardSentBefore(state, nowMs - load.ageMs());
    }
  }

  private EndpointState endpointState(EndpointName endpoint) {
    return endpoints.computeIfAbsent(endpoint, n -> new EndpointState());
  }

  private static void discardSentBefore(EndpointState state, long beforeMs) {
    while (!state.sentAtMs.isEmpty() && state.sentAtMs.peekFirst() <= beforeMs) {
      state.sentAtMs.pollFirst();
    }
  }
}
