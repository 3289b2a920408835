package io.kumquatspindle.node.observe;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes a line now and then with what the counters of work have grown by, so that a VM that is
 * busy with itself shows in its log.
 */
public final class Vitals {
  /** Time between lines, in ms; as often as metrics are fetched while an incident is examined. */
  public static final long EVERY_MS = 5_000;

  private static final List<String> SHOWN =
      List.of(DutyClock.TIME, DutyClock.RUNS, "peer_", "store_");

  private final EventLog log;
  private final MetricRegistry metrics;
  private final Map<String, Long> before = new HashMap<>();

  /**
   * Creates the writer.
   *
   * @param log gets the lines
   * @param metrics the counters
   */
  public Vitals(EventLog log, MetricRegistry metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Writes a line.
   *
   * @param peersKnown number of other VMs that are known
   * @param peersHeard number of VMs that are heard, this one included
   * @param waiting number of requests that wait for a model
   */
  public void write(int peersKnown, int peersHeard, int waiting) {
    EventLog.Line line =
        log.line("vitals")
            .field("peers_known", peersKnown)
            .field("peers_heard", peersHeard)
            .field("waiting", waiting);
    metrics
        .getCounters((name, metric) -> SHOWN.stream().anyMatch(name::startsWith))
        .forEach(
            (name, counter) -> {
              long count = counter.getCount();
              long grown = count - before.getOrDefault(name, 0L);
              before.put(name, count);
              if (grown != 0) {
                line.field(name.replace("\"", "").replace("_total", ""), grown);
              }
            });
    line.write();
  }
}
