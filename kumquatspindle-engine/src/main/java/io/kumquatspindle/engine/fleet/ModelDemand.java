package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.Map;

/** Requests a second for each model over all VMs, weighted towards the present. One thread. */
public final class ModelDemand {
  /** Time in which a count falls to 1/e; models wake and fall idle within some seconds. */
  public static final double MEMORY_MS = 8_000;

  /** Shortest time that a rate is taken over, in ms; five digests of the other VMs. */
  private static final double LEAST_MS = 1_000;

  private final Map<String, Count> counts = new HashMap<>();
  private long firstMs = Long.MAX_VALUE;

  /**
   * Counts requests.
   *
   * @param model name of the model
   * @param requests number of requests
   * @param now present time, in ms
   */
  public void add(String model, double requests, long now) {
    Count c = counts.computeIfAbsent(model, m -> new Count());
    c.value = c.at(now) + requests;
    c.atMs = now;
    firstMs = Math.min(firstMs, now);
  }

  /**
   * Returns the requests a second.
   *
   * @param model name of the model
   * @param now present time, in ms
   * @return requests a second
   */
  public double rate(String model, long now) {
    Count c = counts.get(model);
    return c == null ? 0 : c.at(now) / (observedMs(now) / 1_000);
  }

  /**
   * Tells whether any model was wanted yet.
   *
   * @return whether there was any demand
   */
  public boolean any() {
    return !counts.isEmpty();
  }

  /** Returns the time that counts stand for; less than the memory soon after the first one. */
  private double observedMs(long now) {
    double age = Math.max(LEAST_MS, now - firstMs);
    return MEMORY_MS * (1 - Math.exp(-age / MEMORY_MS));
  }

  private static final class Count {
    private double value;
    private long atMs;

    private double at(long now) {
      return value * Math.exp(-(now - atMs) / MEMORY_MS);
    }
  }
}
