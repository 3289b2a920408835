package io.kumquatspindle.api.time;

/** A clock that never runs backwards and is not set by anyone. */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the time since an arbitrary fixed instant of this process.
   *
   * @return time in milliseconds
   */
  long nowMs();

  /**
   * Returns the clock of this machine.
   *
   * @return the clock
   */
  static MonotonicClock system() {
    return () -> System.nanoTime() / 1_000_000L;
  }
}
