package io.kumquatspindle.engine.fleet;

/** Moving average of the share of requests that an endpoint fails; decays without requests. */
final class FailureRate {
  /** Weight of the latest outcome. */
  private static final double LATEST_WEIGHT = 0.2;

  /** Half-life while there are no outcomes, in ms. */
  private static final double HALF_LIFE_MS = 4_000;

  private double rate;
  private long atMs;

  void record(boolean failed, long now) {
    rate = value(now) * (1 - LATEST_WEIGHT) + (failed ? LATEST_WEIGHT : 0);
    atMs = now;
  }

  /** Returns the average, 0 to 1. */
  double value(long now) {
    return rate * Math.pow(0.5, (now - atMs) / HALF_LIFE_MS);
  }
}
