package io.kumquatspindle.standins.http;

/** Faults that a test injects into one stand-in. */
public interface Faults {

  /**
   * Returns the number of requests that are affected before the faults are cleared.
   *
   * @return the number of requests; 0 for no limit
   */
  int remaining();

  /**
   * Returns how long connections are refused after the faults are injected.
   *
   * @return the time in milliseconds; 0 if connections are not refused
   */
  long downMs();
}
