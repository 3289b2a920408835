package io.kumquatspindle.control.log;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import java.time.Duration;

/** Counts appends, reads and records of each stream. Safe for use by several threads. */
public final class CountingLogService implements LogService {
  private final LogService delegate;
  private final MetricRegistry registry;

  /**
   * Wraps a log service.
   *
   * @param delegate the log service
   * @param registry where the counters are registered
   */
  public CountingLogService(LogService delegate, MetricRegistry registry) {
    this.delegate = delegate;
    this.registry = registry;
  }

  @Override
  public AppendResult append(StreamName stream, byte[] value) {
    count("log_appends", stream, 1);
    count("log_append_bytes", stream, value.length);
    return delegate.append(stream, value);
  }

  @Override
  public ReadResult read(StreamName stream, long from, int max, Duration wait) {
    ReadResult result = delegate.read(stream, from, max, wait);
    count("log_reads", stream, 1);
    if (result instanceof ReadResult.Batch batch) {
      count("log_records_read", stream, batch.records().size());
      long bytes = 0;
      for (LogRecord record : batch.records()) {
        bytes += record.value().length;
      }
      count("log_record_bytes_read", stream, bytes);
    }
    return result;
  }

  private void count(String name, StreamName stream, long increment) {
    registry.counter(MetricsText.name(name, "stream", stream.path())).inc(increment);
  }
}
