package io.kumquatspindle.standins.http;

/** The faults of one stand-in that a test has switched on. */
public interface Faults {

  /**
   * Returns how many requests the faults affect before they are switched off.
   *
   * @return the number of requests; 0 for no limit
   */
  int remaining();

  /**
   * Returns how long connections are refused, starting now.
   *
   * @return the time in milliseconds; 0 for not at all
   */
  long downMs();
}
