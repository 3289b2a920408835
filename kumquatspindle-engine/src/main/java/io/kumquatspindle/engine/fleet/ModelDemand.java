package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Request rate of each model across all VMs, with exponential decay. Not thread-safe: confined to
 * one thread.
 */
public final class ModelDemand {
  /** Time in which a count decays to 1/e. Models become active or idle within a few seconds. */
  public static final double DECAY_MS = 8_000;

  /**
   * Time in which a long-term count decays to 1/e, in ms. Loads from the weight store take several
   * seconds, and the requests for a rarely used model within less time say little of its rate.
   */
  private static final double LONG_TERM_DECAY_MS = 20_000;

  /**
   * Minimum time over which a rate is computed, in ms; corresponds to five digests from the other
   * VMs.
   */
  private static final double MIN_WINDOW_MS = 1_000;

  private final Map<String, DecayingCount> counts = new HashMap<>();
  private long firstRequestMs = Long.MAX_VALUE;

  /**
   * Adds requests for a model.
   *
   * @param model name of the model
   * @param requests number of requests
   * @param now current time, in ms
   */
  public void addRequests(String model, double requests, long now) {
    DecayingCount c = counts.computeIfAbsent(model, m -> new DecayingCount());
    c.value = c.valueAt(now) + requests;
    c.longTermValue = c.longTermValueAt(now) + requests;
    c.atMs = now;
    firstRequestMs = Math.min(firstRequestMs, now);
  }

  /**
   * Returns the request rate of a model.
   *
   * @param model name of the model
   * @param now current time, in ms
   * @return requests per second
   */
  public double rate(String model, long now) {
    DecayingCount c = counts.get(model);
    return c == null ? 0 : c.valueAt(now) / (effectiveWindowMs(DECAY_MS, now) / 1_000);
  }

  /**
   * Returns the request rate of a model over a longer time, for decisions that take effect late.
   *
   * @param model name of the model
   * @param now current time, in ms
   * @return requests per second
   */
  public double longTermRate(String model, long now) {
    DecayingCount c = counts.get(model);
    return c == null
        ? 0
        : c.longTermValueAt(now) / (effectiveWindowMs(LONG_TERM_DECAY_MS, now) / 1_000);
  }

  /**
   * Returns whether any requests have been counted.
   *
   * @return whether any model has been requested
   */
  public boolean hasDemand() {
    return !counts.isEmpty();
  }

  /**
   * Returns the time span that the decayed counts represent, which is shorter than the decay time
   * soon after the first request.
   */
  private double effectiveWindowMs(double decayMs, long now) {
    double age = Math.max(MIN_WINDOW_MS, now - firstRequestMs);
    return decayMs * (1 - Math.exp(-age / decayMs));
  }

  private static final class DecayingCount {
    private double value;
    private double longTermValue;
    private long atMs;

    private double valueAt(long now) {
      return value * Math.exp(-(now - atMs) / DECAY_MS);
    }

    private double longTermValueAt(long now) {
      return longTermValue * Math.exp(-(now - atMs) / LONG_TERM_DECAY_MS);
    }
  }
}
