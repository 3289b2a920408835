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

/** Reported load of endpoints, and what this VM has sent to them since. */
public final class EndpointLoadView {
  /** Time for which an endpoint is avoided after a failure, in milliseconds. */
  static final long AVOID_AFTER_FAILURE_MS = 2_000;

  // Without a report for this long, older requests are assumed to have ended.
  private static final long FORGET_SENT_MS = 10_000;

  private static final class Entry {
    final ArrayDeque<Long> sentAt = new ArrayDeque<>();
    Optional<EndpointLoad> report = Optional.empty();
    long failedAtMs = Long.MIN_VALUE / 2;
  }

  private final Map<EndpointName, Entry> entries = new HashMap<>();

  /**
   * Returns an endpoint with its load.
   *
   * @param spec the endpoint as configured
   * @param nowMs current time in milliseconds
   * @return the candidate
   */
  public synchronized RoutingCandidate candidate(EndpointSpec spec, long nowMs) {
    Entry e = entry(spec.name());
    forget(e, nowMs - FORGET_SENT_MS);
    int reported = e.report.map(r -> r.running() + r.waiting()).orElse(0);
    boolean leaving = spec.leaving() || e.report.map(EndpointLoad::leaving).orElse(false);
    return new RoutingCandidate(
        spec.name(),
        spec.failureDomain(),
        reported,
        e.sentAt.size(),
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
  public synchronized void sent(EndpointName endpoint, long nowMs) {
    entry(endpoint).sentAt.addLast(nowMs);
  }

  /**
   * Notes that a request failed, so that the endpoint is avoided for a short time.
   *
   * @param endpoint the endpoint
   * @param nowMs current time in milliseconds
   */
  public synchronized void failed(EndpointName endpoint, long nowMs) {
    entry(endpoint).failedAtMs = nowMs;
  }

  synchronized void update(EndpointLoads loads, long nowMs) {
    for (EndpointLoad load : loads.loads()) {
      Entry e = entry(load.endpoint());
      e.report = Optional.of(load);
      forget(e, nowMs - load.ageMs());
    }
  }

  private Entry entry(EndpointName endpoint) {
    return entries.computeIfAbsent(endpoint, n -> new Entry());
  }

  private static void forget(Entry e, long beforeMs) {
    while (!e.sentAt.isEmpty() && e.sentAt.peekFirst() <= beforeMs) {
      e.sentAt.pollFirst();
    }
  }
}
