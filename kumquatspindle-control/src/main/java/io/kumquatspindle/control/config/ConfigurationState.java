package io.kumquatspindle.control.config;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Limits;

/**
 * What the configuration controller has published last. Readers on other threads see a consistent
 * value.
 *
 * @param nextOffset next offset of the tickets stream that has not been applied
 * @param configuration the configuration in force
 * @param confirmedAtMs when the configuration was last confirmed up to date, on the monotonic clock
 * @param everConfirmed whether it has been confirmed since the program started
 * @param hasGap whether records are missing and no snapshot covers them
 * @param logReachable whether the last read of the log succeeded
 */
public record ConfigurationState(
    long nextOffset,
    Configuration configuration,
    long confirmedAtMs,
    boolean everConfirmed,
    boolean hasGap,
    boolean logReachable) {

  /** Time since the last confirmation that stands for "never". */
  public static final long NEVER_CONFIRMED_MS = Long.MAX_VALUE / 4;

  /**
   * Returns the time since the last confirmation.
   *
   * @param nowMs present time on the monotonic clock
   * @return time in milliseconds; {@link #NEVER_CONFIRMED_MS} if there was none
   */
  public long confirmedAgoMs(long nowMs) {
    return everConfirmed ? Math.max(0, nowMs - confirmedAtMs) : NEVER_CONFIRMED_MS;
  }

  /**
   * Returns the same state without failure domains that quota slots belong to, for a VM that must
   * not claim slots yet.
   *
   * @return the state
   */
  public ConfigurationState withoutQuotaSlots() {
    Configuration c = configuration;
    Configuration noSlots =
        new Configuration(
            c.number(),
            c.models(),
            c.adapters(),
            c.customers(),
            c.keys(),
            c.endpoints(),
            c.services(),
            c.openRoutes(),
            Limits.NONE);
    return new ConfigurationState(
        nextOffset, noSlots, confirmedAtMs, everConfirmed, hasGap, logReachable);
  }
}
