package io.kumquatspindle.node.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Activity logger")
class ActivityLoggerTests {
  private final MetricRegistry metrics = new MetricRegistry();
  private final AtomicLong nanos = new AtomicLong();
  private final AtomicLong cpuMs = new AtomicLong(40);
  private final TaskTimer timer = new TaskTimer(metrics, nanos::get);

  @Test
  @DisplayName("task timer counts the time of a nested task only once")
  void countsNestedDutyOnce() {
    timer.run(
        "outer",
        () -> {
          nanos.addAndGet(2_000_000);
          timer.run("inner", () -> nanos.addAndGet(5_000_000));
          nanos.addAndGet(1_000_000);
        });

    assertEquals(3_000, metrics.counter("duty_us_total{duty=\"outer\"}").getCount());
    assertEquals(5_000, metrics.counter("duty_us_total{duty=\"inner\"}").getCount());
  }

  @Test
  @DisplayName("logs only the counters that have increased since the last line")
  void logsIncreasesOnly() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog(out, () -> 0, "vm", new Counter());
    ActivityLogger logger = new ActivityLogger(log, metrics, Map.of("process_cpu_ms", cpuMs::get));
    metrics.counter("store_calls_total").inc(7);
    logger.write(3, 2, 1);
    cpuMs.addAndGet(9);
    metrics.counter("peer_received_total{kind=\"digest\"}").inc(4);
    logger.write(3, 4, 0);
    log.close();

    String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
    assertTrue(lines[0].contains("\"store_calls\":7"), lines[0]);
    assertTrue(lines[1].contains("\"peer_received{kind=digest}\":4"), lines[1]);
    assertFalse(lines[1].contains("store_calls"), lines[1]);
    assertTrue(lines[0].contains("\"process_cpu_ms\":40"), lines[0]);
    assertTrue(lines[1].contains("\"process_cpu_ms\":9"), lines[1]);
  }
}
