package io.kumquatspindle.control.config;

import io.kumquatspindle.api.config.Configuration;

/**
 * What the configuration controller has published last. Readers on other threads see a consistent
 * value.
 *
 * @param nextOffset next offset of the tickets stream that has not been applied
 * @param configuration the configuration in force
 * @param confirmedAtMs when the configuration was last confirmed up to date, on the monotonic clock
 * @param everConfirmed whether it has been confirmed since the program started
 * @param gap whether records are missing and no snapshot covers them
 * @param logReachable whether the last read of the log succeeded
 */
public record ConfigurationState(
    long nextOffset,
    Configuration configuration,
    long confirmedAtMs,
    boolean everConfirmed,
    boolean gap,
    boolean logReachable) {

  /** Time since the last confirmation that stands for "never". */
  public static final long NEVER_MS = Long.MAX_VALUE / 4;

  /**
   * Returns the time since the last confirmation.
   *
   * @param nowMs present time on the monotonic clock
   * @return time in milliseconds; {@link #NEVER_MS} if there was none
   */
  public long confirmedAgoMs(long nowMs) {
    return everConfirmed ? Math.max(0, nowMs - confirmedAtMs) : NEVER_MS;
  }
}
