package io.kumquatspindle.control.config;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Limits;

/**
 * The state that the configuration controller publishes to other threads. Immutable.
 *
 * @param nextOffset offset of the first tickets record that has not been applied
 * @param configuration the active configuration
 * @param confirmedAtMs when the configuration was last confirmed to be up to date, on the monotonic
 *     clock; meaningless if it never was
 * @param everConfirmed whether it has been confirmed since the program started
 * @param hasGap whether records are missing that no snapshot covers
 * @param logReachable whether the last read of the log succeeded
 */
public record ConfigurationState(
    long nextOffset,
    Configuration configuration,
    long confirmedAtMs,
    boolean everConfirmed,
    boolean hasGap,
    boolean logReachable) {

  /** Value of the time since the last confirmation if there was none. */
  public static final long NEVER_CONFIRMED_MS = Long.MAX_VALUE / 4;

  /**
   * Returns the time since the last confirmation.
   *
   * @param nowMs current time on the monotonic clock
   * @return time in milliseconds; {@link #NEVER_CONFIRMED_MS} if there was none
   */
  public long confirmedAgoMs(long nowMs) {
    return everConfirmed ? Math.max(0, nowMs - confirmedAtMs) : NEVER_CONFIRMED_MS;
  }

  /**
   * Returns a copy whose limits define no quota slots, for a VM that must not claim slots yet.
   *
   * @return the copy
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
