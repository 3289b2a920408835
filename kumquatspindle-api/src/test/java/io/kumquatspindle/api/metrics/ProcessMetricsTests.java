package io.kumquatspindle.api.metrics;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("ProcessMetrics")
class ProcessMetricsTests {

  @Test
  @DisplayName("reports positive CPU time and memory use without failed gauges")
  void page() {
    MetricRegistry registry = new MetricRegistry();
    ProcessMetrics.register(registry);
    ProcessMetrics.registerThreads(registry);
    String page = MetricsText.of(registry);
    assertTrue(page.contains("\nmetrics_failed_gauges 0\n"), page);
    assertTrue(page.contains("thread_cpu_seconds{thread=\"main\"} "), page);
    assertFalse(page.contains("process_cpu_seconds 0.0\n"), page);
    assertFalse(page.contains("jvm_non_heap_used_bytes 0\n"), page);
  }
}
