package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Loads that are requested for requests which may be sent to some regions only. Replicas in other
 * regions cannot serve these requests, so that they do not make the load unnecessary; and the VM
 * that assigns the loads from the weight store, which counts all replicas, would not assign it. Not
 * thread-safe: confined to one owner thread.
 */
public final class RestrictedLoads {
  /** Time for which a request of a load counts unless it is repeated, in ms; as of all of them. */
  private static final long VALID_MS = 3_000;

  /** Maximum number of loads; a VM holds some tens of endpoints. */
  private static final int MAX_LOADS = 1_024;

  private final Map<String, Map<String, Long>> untilMs = new HashMap<>();

  /**
   * Records that a load is requested.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param now current time, in ms
   */
  public void add(String endpoint, String model, long now) {
    untilMs.values().forEach(models -> models.values().removeIf(until -> now >= until));
    untilMs.values().removeIf(Map::isEmpty);
    if (untilMs.values().stream().mapToInt(Map::size).sum() < MAX_LOADS) {
      untilMs.computeIfAbsent(endpoint, e -> new HashMap<>()).put(model, now + VALID_MS);
    }
  }

  /**
   * Returns whether a load is requested.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param now current time, in ms
   * @return whether a replica is needed there although others exist in other regions
   */
  public boolean contains(String endpoint, String model, long now) {
    return now < untilMs.getOrDefault(endpoint, Map.of()).getOrDefault(model, Long.MIN_VALUE);
  }
}
