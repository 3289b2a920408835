package io.kumquatspindle.control.log;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import java.time.Duration;

/**
 * A log service that delegates to another one and counts appends, reads, records and bytes for each
 * stream. Thread-safe.
 */
public final class CountingLogService implements LogService {
  private final LogService delegate;
  private final MetricRegistry registry;

  /**
   * Creates a log service that delegates to the given one.
   *
   * @param delegate the log service that carries out appends and reads
   * @param registry the registry for the counters
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
