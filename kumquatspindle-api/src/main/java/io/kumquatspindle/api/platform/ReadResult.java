package io.kumquatspindle.api.platform;

import java.util.List;

/** The result of reading a log stream. */
public sealed interface ReadResult {

  /**
   * Records from the requested offset, or from the earliest retained offset if that is later.
   *
   * @param earliest offset of the oldest retained record; equals {@code end} if there is none
   * @param end offset of the next append
   * @param records records in offset order, possibly empty
   */
  record Batch(long earliest, long end, List<LogRecord> records) implements ReadResult {}

  /**
   * The log cannot be read at the moment.
   *
   * @param reason the reason
   */
  record Unavailable(String reason) implements ReadResult {}
}
