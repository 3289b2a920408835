package io.kumquatspindle.standins.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.kumquatspindle.api.platform.LogRecord;
import java.util.List;

/** The response to a read of a log stream. */
record LogBatch(long earliest, long end, List<Entry> records) {

  static List<Entry> entries(List<LogRecord> records) {
    return records.stream().map(r -> new Entry(r.offset(), r.timeMs(), r.value())).toList();
  }

  /** A record, whose value Jackson encodes in base64. */
  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  record Entry(long offset, @JsonProperty("time_ms") long timeMs, byte[] value) {}
}
