package io.kumquatspindle.transport.duty;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;

/** Registers the events and the backlog of duties. */
public final class DutyMetrics {
  private DutyMetrics() {}

  /**
   * Registers all duties that run now; of two duties with one name, one is registered.
   *
   * @param registry where the gauges are registered
   */
  public static void register(MetricRegistry registry) {
    for (Duty<?> duty : Duty.running()) {
      gauge(registry, "duty_events", duty, duty::handled);
      gauge(registry, "duty_rejected", duty, duty::rejected);
      gauge(registry, "duty_backlog", duty, duty::backlog);
    }
  }

  private static void gauge(
      MetricRegistry registry, String name, Duty<?> duty, Gauge<? extends Number> value) {
    registry.gauge(MetricsText.name(name, "duty", duty.name()), () -> value);
  }
}
