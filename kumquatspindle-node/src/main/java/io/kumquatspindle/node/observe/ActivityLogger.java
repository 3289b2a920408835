package io.kumquatspindle.node.observe;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Periodically logs the increase of the counters of internal work, so that the log shows a VM whose
 * time is taken by internal work and not by requests. The processor time of the whole process
 * stands beside them, since compiler and garbage collector are in no counter.
 */
public final class ActivityLogger {
  /** Interval of the lines, in ms; metrics are scraped as often during incident analysis. */
  public static final long INTERVAL_MS = 5_000;

  private static final List<String> COUNTER_PREFIXES =
      List.of(TaskTimer.TIME_METRIC, TaskTimer.RUNS_METRIC, "peer_", "store_");

  private final EventLog log;
  private final MetricRegistry metrics;
  private final Map<String, LongSupplier> processTimes;
  private final Map<String, Long> previousCounts = new HashMap<>();

  /**
   * Creates the logger.
   *
   * @param log destination of the lines
   * @param metrics registry of the counters
   * @param processTimes times used by the process since its start, in ms, by name of the field
   */
  public ActivityLogger(
      EventLog log, MetricRegistry metrics, Map<String, LongSupplier> processTimes) {
    this.log = log;
    this.metrics = metrics;
    this.processTimes = Map.copyOf(processTimes);
  }

  /**
   * Writes a line.
   *
   * @param peersKnown number of known peers
   * @param peersReachable number of VMs that are currently reachable, this one included
   * @param pendingRequests number of requests that are waiting for a model or a rate
   */
  public void write(int peersKnown, int peersReachable, int pendingRequests) {
    EventLog.Line line =
        log.line("vitals")
            .field("peers_known", peersKnown)
            .field("peers_heard", peersReachable)
            .field("waiting", pendingRequests);
    processTimes.forEach((name, time) -> line.field(name, increase(name, time.getAsLong())));
    metrics
        .getCounters((name, metric) -> COUNTER_PREFIXES.stream().anyMatch(name::startsWith))
        .forEach(
            (name, counter) -> {
              long increase = increase(name, counter.getCount());
              if (increase != 0) {
                line.field(name.replace("\"", "").replace("_total", ""), increase);
              }
            });
    line.write();
  }

  private long increase(String name, long count) {
    Long previous = previousCounts.put(name, count);
    return previous == null ? count : count - previous;
  }
}
