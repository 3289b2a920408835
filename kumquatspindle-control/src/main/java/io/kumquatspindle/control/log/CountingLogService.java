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
  private final LogService log;
  private final MetricRegistry registry;

  /**
   * Wraps a log service.
   *
   * @param log the log service
   * @param registry where the counters are registered
   */
  public CountingLogService(LogService log, MetricRegistry registry) {
    this.log = log;
    this.registry = registry;
  }

  @Override
  public AppendResult append(StreamName stream, byte[] value) {
    count("log_appends", stream, 1);
    count("log_append_bytes", stream, value.length);
    return log.append(stream, value);
  }

  @Override
  public ReadResult read(StreamName stream, long from, int max, Duration wait) {
    ReadResult result = log.read(stream, from, max, wait);
    count("log_reads", stream, 1);
    if (result instanceof ReadResult.Batch batch) {
      count("log_records_read", stream, batch.records().size());
      long bytes = 0;
      for (LogRecord r : batch.records()) {
        bytes += r.value().length;
      }
      count("log_record_bytes_read", stream, bytes);
    }
    return result;
  }

  private void count(String name, StreamName stream, long n) {
    registry.counter(MetricsText.name(name, "stream", stream.path())).inc(n);
  }
}
