package io.kumquatspindle.api.platform;

import java.time.Duration;

/** The platform's append-only log service. Calls block; none throws for an outage. */
public interface LogService {

  /**
   * Appends a record.
   *
   * @param stream the stream
   * @param value the record's bytes
   * @return what is known about the append
   */
  AppendResult append(StreamName stream, byte[] value);

  /**
   * Reads records.
   *
   * @param stream the stream
   * @param from first offset wanted
   * @param max most records to return, at least 1
   * @param wait how long the log may wait for a record if there is none yet
   * @return the records, or why there are none
   */
  ReadResult read(StreamName stream, long from, int max, Duration wait);
}
