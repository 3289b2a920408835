package io.kumquatspindle.standins.platform;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Spaces appends evenly, and refuses those that would wait too long. */
final class AppendPacer {
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final long spacingNanos;
  private long nextFree = Long.MIN_VALUE;

  AppendPacer(int perSecond) {
    spacingNanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
  }

  /** Returns how long an append has to wait, in milliseconds, or empty if it is refused. */
  synchronized Optional<Long> reserve(long nowNanos) {
    // A first append and one after a pause start at once.
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
