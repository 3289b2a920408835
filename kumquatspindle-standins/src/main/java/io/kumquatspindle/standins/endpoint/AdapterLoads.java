package io.kumquatspindle.standins.endpoint;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Adapter loads in flight over all engines of the process, and how long one takes. */
public final class AdapterLoads {
  private final Duration shortest;
  private final Duration longest;
  private final int atOnce;
  private final AtomicInteger inFlight = new AtomicInteger();

  /**
   * Creates a counter.
   *
   * @param shortest shortest load time
   * @param longest longest load time
   * @param atOnce loads in flight from which on the time grows in proportion
   */
  public AdapterLoads(Duration shortest, Duration longest, int atOnce) {
    this.shortest = shortest;
    this.longest = longest;
    this.atOnce = atOnce;
  }

  /** Counts one more load and returns how long it takes. */
  Duration begin() {
    int n = inFlight.incrementAndGet();
    long ms = ThreadLocalRandom.current().nextLong(shortest.toMillis(), longest.toMillis() + 1);
    return Duration.ofMillis(n <= atOnce ? ms : ms * n / atOnce);
  }

  void end() {
    inFlight.decrementAndGet();
  }
}
