package io.kumquatspindle.engine.config;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Says when a VM writes a snapshot: when the newest one is older than half of the retention time
 * plus a random part of a tenth of it. VMs draw different parts, so that one writes and the others
 * see its snapshot before their own time comes.
 *
 * @param retention how long the log keeps records
 * @param jitter this VM's random part, from 0 to 1
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
   * Returns when to write.
   *
   * @param newestMs when the newest complete snapshot was written, if there is one
   * @param oldestRecordMs when the log took the oldest record of the stream; used if there is no
   *     snapshot, because that record is the first to expire
   * @return the time, in milliseconds on the clock of the arguments
   */
  public long dueAtMs(OptionalLong newestMs, long oldestRecordMs) {
    long wait = retention.toMillis() / 2 + (long) (jitter * (retention.toMillis() / 10));
    return newestMs.orElse(oldestRecordMs) + wait;
  }

  /**
   * Returns how long to wait before writing.
   *
   * @param newestMs when the newest complete snapshot was written, if there is one
   * @param oldestRecordMs when the log took the oldest record of the stream
   * @param nowMs the present time
   * @return the time left, in milliseconds; 0 if the snapshot is due
   */
  public long delayMs(OptionalLong newestMs, long oldestRecordMs, long nowMs) {
    return Math.max(0, dueAtMs(newestMs, oldestRecordMs) - nowMs);
  }
}
