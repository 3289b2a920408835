package io.kumquatspindle.api.platform;

import java.time.Duration;

/** The platform's append-only log service. Calls block and report outages in their results. */
public interface LogService {

  /**
   * Appends a record.
   *
   * @param stream the stream
   * @param value the record's bytes
   * @return the outcome of the append
   */
  AppendResult append(StreamName stream, byte[] value);

  /**
   * Reads records.
   *
   * @param stream the stream
   * @param from offset of the first record to read
   * @param max maximum number of records, at least 1
   * @param wait how long the log service may wait for a record if there is none yet
   * @return the records, or the reason for failure
   */
  ReadResult read(StreamName stream, long from, int max, Duration wait);
}
