package io.kumquatspindle.standins.platform;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Spaces appends evenly to limit their rate, and rejects those that would wait too long. */
final class AppendRateLimiter {
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final long spacingNanos;
  private long nextFree = Long.MIN_VALUE;

  AppendRateLimiter(int perSecond) {
    spacingNanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
  }

  /** Returns how long an append has to wait, in milliseconds, or empty if it is rejected. */
  synchronized Optional<Long> reserve(long nowNanos) {
    // The first append and one after an idle period start immediately.
    if (nextFree == Long.MIN_VALUE || nextFree < nowNanos) {
      nextFree = nowNanos;
    }
    long wait = nextFree - nowNanos;
    if (wait > MAX_WAIT_NANOS) {
      return Optional.empty();
    }
    nextFree += spacingNanos;
    return Optional.of(TimeUnit.NANOSECONDS.toMillis(wait));
  }
}
