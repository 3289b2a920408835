package io.kumquatspindle.standins.endpoint;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts concurrent adapter loads over all engines of the process to simulate their duration. */
public final class AdapterLoadTracker {
  private final Duration minLoadTime;
  private final Duration maxLoadTime;
  private final int fullSpeedLoads;
  private final AtomicInteger inFlight = new AtomicInteger();

  /**
   * Creates a tracker without loads.
   *
   * @param minLoadTime minimum duration of a load
   * @param maxLoadTime maximum duration of a load
   * @param fullSpeedLoads number of concurrent loads above which the duration grows in proportion
   *     to their number
   */
  public AdapterLoadTracker(Duration minLoadTime, Duration maxLoadTime, int fullSpeedLoads) {
    this.minLoadTime = minLoadTime;
    this.maxLoadTime = maxLoadTime;
    this.fullSpeedLoads = fullSpeedLoads;
  }

  /** Counts the start of a load and returns its duration. */
  Duration begin() {
    int n = inFlight.incrementAndGet();
    long ms =
        ThreadLocalRandom.current().nextLong(minLoadTime.toMillis(), maxLoadTime.toMillis() + 1);
    return Duration.ofMillis(n <= fullSpeedLoads ? ms : ms * n / fullSpeedLoads);
  }

  void end() {
    inFlight.decrementAndGet();
  }
}
