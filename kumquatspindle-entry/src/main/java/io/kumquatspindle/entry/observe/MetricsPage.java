package io.kumquatspindle.entry.observe;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.Map;

/** A metrics registry as text, one value a line. */
public final class MetricsPage {
  private static final double NANOS_PER_MS = 1e6;

  private MetricsPage() {}

  /**
   * Writes the values of a registry; times are in milliseconds.
   *
   * @param registry the registry
   * @return lines of name, space and value
   */
  public static String render(MetricRegistry registry) {
    StringBuilder page = new StringBuilder();
    for (Map.Entry<String, Counter> e : registry.getCounters().entrySet()) {
      line(page, e.getKey(), e.getValue().getCount());
    }
    for (Map.Entry<String, Gauge> e : registry.getGauges().entrySet()) {
      line(page, e.getKey(), e.getValue().getValue());
    }
    for (Map.Entry<String, Timer> e : registry.getTimers().entrySet()) {
      timer(page, e.getKey(), e.getValue());
    }
    return page.toString();
  }

  private static void timer(StringBuilder page, String name, Timer timer) {
    Snapshot s = timer.getSnapshot();
    line(page, name + "_count", timer.getCount());
    line(page, name + "_ms{quantile=\"0.5\"}", millis(s.getMedian()));
    line(page, name + "_ms{quantile=\"0.95\"}", millis(s.get95thPercentile()));
    line(page, name + "_ms{quantile=\"0.99\"}", millis(s.get99thPercentile()));
  }

  private static String millis(double nanos) {
    return String.format(Locale.ROOT, "%.3f", nanos / NANOS_PER_MS);
  }

  private static void line(StringBuilder page, String name, Object value) {
    page.append(name).append(' ').append(value).append('\n');
  }
}
