package io.kumquatspindle.transport.worker;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;

/** Registers gauges for the events and the backlog of event workers. */
public final class EventWorkerMetrics {
  private EventWorkerMetrics() {}

  /**
   * Registers the gauges of all running workers. If several workers share a name, only one of them
   * is registered.
   *
   * @param registry the registry for the gauges
   */
  public static void register(MetricRegistry registry) {
    for (EventWorker<?> worker : EventWorker.running()) {
      gauge(registry, "duty_events", worker, worker::handled);
      gauge(registry, "duty_rejected", worker, worker::rejected);
      gauge(registry, "duty_backlog", worker, worker::backlog);
    }
  }

  private static void gauge(
      MetricRegistry registry, String name, EventWorker<?> worker, Gauge<? extends Number> value) {
    registry.gauge(MetricsText.name(name, "duty", worker.name()), () -> value);
  }
}
