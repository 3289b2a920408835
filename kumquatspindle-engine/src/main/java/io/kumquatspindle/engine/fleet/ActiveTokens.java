package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.Map;

/** Sums up the tokens of the requests in progress at each endpoint, across all reachable VMs. */
final class ActiveTokens {
  private final Map<String, Long> own = new HashMap<>();
  private final Map<String, Long> ofPeers = new HashMap<>();
  private final Map<String, Report> reports = new HashMap<>();
  private long lastExpiryMs = Long.MIN_VALUE;

  private record Report(Map<String, Long> tokens, long untilMs) {}

  void started(String endpoint, long tokens) {
    add(own, endpoint, tokens);
  }

  void ended(String endpoint, long tokens) {
    add(own, endpoint, -tokens);
  }

  private static void add(Map<String, Long> sums, String endpoint, long tokens) {
    if (tokens != 0) {
      sums.merge(endpoint, tokens, (sum, t) -> sum + t > 0 ? sum + t : null);
    }
  }

  Map<String, Long> own() {
    return Map.copyOf(own);
  }

  long own(String endpoint) {
    return own.getOrDefault(endpoint, 0L);
  }

  long ofPeers(String endpoint, long now) {
    if (now != lastExpiryMs) {
      lastExpiryMs = now;
      reports.values().removeIf(r -> now > r.untilMs() && subtract(r));
    }
    return ofPeers.getOrDefault(endpoint, 0L);
  }

  void updateFromPeer(String peer, Map<String, Long> tokens, long untilMs) {
    Report previous = reports.remove(peer);
    if (previous != null) {
      subtract(previous);
    }
    Map<String, Long> positive = new HashMap<>(tokens);
    positive.values().removeIf(t -> t <= 0);
    if (!positive.isEmpty()) {
      positive.forEach((endpoint, t) -> add(ofPeers, endpoint, t));
      reports.put(peer, new Report(positive, untilMs));
    }
  }

  private boolean subtract(Report report) {
    report.tokens().forEach((endpoint, t) -> add(ofPeers, endpoint, -t));
    return true;
  }
}
