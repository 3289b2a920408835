package io.kumquatspindle.engine.config;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Determines when a VM writes a snapshot: once the newest one is older than half of the retention
 * time plus a random jitter of up to a tenth of it. The jitter differs between VMs, so that usually
 * one VM writes and the others see its snapshot before they are due.
 *
 * @param retention how long the log keeps records
 * @param jitter this VM's random fraction of the maximum jitter, from 0 to 1
 */
public record SnapshotSchedule(Duration retention, double jitter) {

  /**
   * Checks the parameters.
   *
   * @throws IllegalArgumentException if the retention time is not positive or the jitter is not
   *     from 0 to 1
   */
  public SnapshotSchedule {
    if (retention.isNegative() || retention.isZero()) {
      throw new IllegalArgumentException("retention must be positive but is " + retention);
    }
    if (!(jitter >= 0 && jitter <= 1)) {
      throw new IllegalArgumentException("jitter must be from 0 to 1 but is " + jitter);
    }
  }

  /**
   * Returns when the next snapshot is due.
   *
   * @param newestMs when the newest complete snapshot was written, if there is one
   * @param oldestRecordMs when the log appended the oldest record of the stream; used if there is
   *     no snapshot, because that record expires first
   * @return the time, in milliseconds on the clock of the arguments
   */
  public long dueAtMs(OptionalLong newestMs, long oldestRecordMs) {
    long wait = retention.toMillis() / 2 + (long) (jitter * (retention.toMillis() / 10));
    return newestMs.orElse(oldestRecordMs) + wait;
  }

  /**
   * Returns the time until the next snapshot is due.
   *
   * @param newestMs when the newest complete snapshot was written, if there is one
   * @param oldestRecordMs when the log appended the oldest record of the stream
   * @param nowMs the present time
   * @return the time left, in milliseconds; 0 if the snapshot is due
   */
  public long delayMs(OptionalLong newestMs, long oldestRecordMs, long nowMs) {
    return Math.max(0, dueAtMs(newestMs, oldestRecordMs) - nowMs);
  }
}
