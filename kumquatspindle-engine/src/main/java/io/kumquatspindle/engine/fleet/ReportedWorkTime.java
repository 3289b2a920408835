package io.kumquatspindle.engine.fleet;

import java.util.OptionalInt;

/**
 * How long work takes at an endpoint by its latest statement, which is a sample of a noisy value.
 */
final class ReportedWorkTime {
  private static final double PERCENT = 100;

  private double factor;
  private long atMs;

  void record(OptionalInt percent, long now) {
    if (percent.orElse(0) > 0) {
      factor = percent.getAsInt() / PERCENT;
      atMs = now;
    }
  }

  /** Returns the time as a multiple of the usual time; 0 if nothing was stated. */
  double factor() {
    return factor;
  }

  /** Returns the time since the statement, in ms. */
  long ageMs(long now) {
    return now - atMs;
  }
}
