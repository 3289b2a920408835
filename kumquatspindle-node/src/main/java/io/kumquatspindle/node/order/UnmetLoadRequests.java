package io.kumquatspindle.node.order;

import java.util.HashMap;
import java.util.Map;

/**
 * Records since when models have been requested without a load in progress. This covers loads that
 * are delayed by something this VM cannot see, such as a holder that may not send orders yet.
 */
final class UnmetLoadRequests {
  /**
   * Time after the last request during which a model counts as requested, in ms; covers the pause
   * before a caller's retry.
   */
  private static final long RETENTION_MS = 3_000;

  private final Map<String, Unmet> byModel = new HashMap<>();

  private record Unmet(long sinceMs, long lastRequestMs) {}

  /**
   * Records a load request.
   *
   * @param model service and model
   * @param now present time, in ms
   * @return time since the first request that has not led to a load, in ms
   */
  long recordRequest(String model, long now) {
    byModel.values().removeIf(u -> now - u.lastRequestMs() > RETENTION_MS);
    Unmet previous = byModel.get(model);
    long sinceMs = previous == null ? now : previous.sinceMs();
    byModel.put(model, new Unmet(sinceMs, now));
    return now - sinceMs;
  }

  /**
   * Forgets the requests for a model that is held or is being loaded.
   *
   * @param model service and model
   */
  void clear(String model) {
    byModel.remove(model);
  }
}
