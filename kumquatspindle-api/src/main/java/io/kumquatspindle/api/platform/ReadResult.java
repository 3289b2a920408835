package io.kumquatspindle.api.platform;

import java.util.List;

/** What a read of a log stream gave. */
public sealed interface ReadResult {

  /**
   * Records from the requested offset, or from the earliest that the log still keeps.
   *
   * @param earliest offset of the oldest record that the log keeps; equals {@code end} if none
   * @param end offset that the next append will get
   * @param records records in offset order, possibly empty
   */
  record Batch(long earliest, long end, List<LogRecord> records) implements ReadResult {}

  /**
   * The log cannot be read now.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements ReadResult {}
}
