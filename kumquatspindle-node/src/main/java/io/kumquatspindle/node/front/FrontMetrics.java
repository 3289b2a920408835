package io.kumquatspindle.node.front;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.engine.fleet.EndpointSelector;
import java.util.concurrent.TimeUnit;

/** Counters and timers of requests, by route and outcome. */
final class FrontMetrics {
  private final MetricRegistry registry;

  FrontMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  void recordServed(String route, int status, long firstByteMs, long totalMs) {
    registry
        .counter(MetricsText.name("requests_total", "route", route, "status", "" + status))
        .inc();
    registry
        .timer(MetricsText.name("first_byte_seconds", "route", route))
        .update(firstByteMs, TimeUnit.MILLISECONDS);
    registry
        .timer(MetricsText.name("request_seconds", "route", route))
        .update(totalMs, TimeUnit.MILLISECONDS);
  }

  void recordFailed(String route, ErrorKind kind) {
    registry.counter(MetricsText.name("failed_total", "route", route, "kind", kind.code())).inc();
  }

  void recordRetry(String reason) {
    registry.counter(MetricsText.name("second_sends_total", "why", reason)).inc();
  }

  void recordSlotWait() {
    registry.counter("slot_waits_total").inc();
  }

  void recordRateWait(long waitedMs) {
    registry.timer("rate_wait_seconds").update(waitedMs, TimeUnit.MILLISECONDS);
  }

  /** Records what is expected of a request at the endpoint that was chosen for it. */
  void recordChoice(EndpointSelector.Estimate estimate) {
    registry.histogram("expected_wait_ms").update(Math.round(estimate.waitMs()));
    registry.histogram("endpoint_work_pct").update(Math.round(100 * estimate.factor()));
  }

  /** Records that a request was rejected because it might overfill the memory of an engine. */
  void recordMemoryRejection(String reason) {
    registry.counter(MetricsText.name("memory_rejections_total", "why", reason)).inc();
  }

  void recordForeignResponse() {
    registry.counter("foreign_responses_total").inc();
  }
}
