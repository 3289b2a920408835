package io.kumquatspindle.api.time;

/** A monotonic clock, which is not affected by changes of the system time. */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the time since an arbitrary origin that is fixed for this process.
   *
   * @return time in milliseconds
   */
  long nowMs();

  /**
   * Returns a clock based on {@link System#nanoTime}.
   *
   * @return the clock
   */
  static MonotonicClock system() {
    return () -> System.nanoTime() / 1_000_000L;
  }
}
