package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.message.EntryMessage.EndpointLoad;
import io.kumquatspindle.api.message.EntryMessage.EndpointLoads;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.engine.routing.Candidate;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Reported load of endpoints, and what this VM has sent to them since. */
public final class EndpointLoadView {
  /** Time for which an endpoint is avoided after a failure, in milliseconds. */
  static final long AVOID_AFTER_FAILURE_MS = 2_000;

  // Without a report for this long, older requests are assumed to have ended.
  private static final long SENT_RETENTION_MS = 10_000;

  private static final class EndpointState {
    final ArrayDeque<Long> sentAtMs = new ArrayDeque<>();
    Optional<EndpointLoad> report = Optional.empty();
    long failedAtMs = Long.MIN_VALUE / 2;
  }

  private final Map<EndpointName, EndpointState> endpoints = new HashMap<>();

  /**
   * Returns an endpoint with its load.
   *
   * @param spec the endpoint as configured
   * @param nowMs current time in milliseconds
   * @return the candidate
   */
  public synchronized Candidate candidate(EndpointSpec spec, long nowMs) {
    EndpointState e = endpointState(spec.name());
    discardSentBefore(e, nowMs - SENT_RETENTION_MS);
    int reported = e.report.map(r -> r.running() + r.waiting()).orElse(0);
    boolean leaving = spec.leaving() || e.report.map(EndpointLoad::leaving).orElse(false);
    return new Candidate(
        spec.name(),
        spec.failureDomain(),
        reported,
        e.sentAtMs.size(),
        e.report.map(EndpointLoad::capacity).orElse(0),
        leaving,
        nowMs - e.failedAtMs < AVOID_AFTER_FAILURE_MS);
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
   * Notes that a request failed, so that the endpoint is avoided for a short time.
   *
   * @param endpoint the endpoint
   * @param nowMs current time in milliseconds
   */
  public synchronized void requestFailed(EndpointName endpoint, long nowMs) {
    endpointState(endpoint).failedAtMs = nowMs;
  }

  synchronized void update(EndpointLoads loads, long nowMs) {
    for (EndpointLoad load : loads.loads()) {
      EndpointState e = endpointState(load.endpoint());
      e.report = Optional.of(load);
      discardSentBefore(e, nowMs - load.ageMs());
    }
  }

  private EndpointState endpointState(EndpointName endpoint) {
    return endpoints.computeIfAbsent(endpoint, n -> new EndpointState());
  }

  private static void discardSentBefore(EndpointState e, long beforeMs) {
    while (!e.sentAtMs.isEmpty() && e.sentAtMs.peekFirst() <= beforeMs) {
      e.sentAtMs.pollFirst();
    }
  }
}
