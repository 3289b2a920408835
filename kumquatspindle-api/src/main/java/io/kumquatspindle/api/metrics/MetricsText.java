package io.kumquatspindle.api.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Renders a metric registry in the Prometheus text format 0.0.4.
 *
 * <p>Counters are rendered as gauges, since they can decrease. Gauges are rendered if their value
 * is a number or a boolean, and omitted otherwise. Meters become counters {@code name_total}.
 * Histograms become summaries without a sum, which the registry does not provide, and timers become
 * such summaries {@code name_seconds}. A gauge that throws is omitted and counted in {@code
 * metrics_failed_gauges}. If two names are equal after sanitising, the type of the first one is
 * used.
 */
public final class MetricsText {
  /** The HTTP content type of the format. */
  public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String FAILED_GAUGES = "metrics_failed_gauges";
  private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<String, Family> families = new TreeMap<>();
  private int failedGauges;

  private MetricsText() {}

  /**
   * Returns a registry name with labels.
   *
   * @param name the metric name without labels
   * @param keysAndValues alternating label names and values
   * @return the name in the form {@code name{key="value",...}}
   */
  public static String name(String name, String... keysAndValues) {
    if (keysAndValues.length % 2 != 0) {
      throw new IllegalArgumentException("metric " + name + " has a label without a value");
    }
    List<String> labels = new ArrayList<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      String key = MetricName.sanitise(keysAndValues[i]).replace(':', '_');
      labels.add(key + "=\"" + MetricName.escape(keysAndValues[i + 1]) + "\"");
    }
    return labels.isEmpty() ? name : name + "{" + String.join(",", labels) + "}";
  }

  /**
   * Renders a registry.
   *
   * @param registry the registry; its names may have labels in the format of {@link #name}
   * @return the metrics, sorted by name
   */
  public static String of(MetricRegistry registry) {
    MetricsText page = new MetricsText();
    new TreeMap<>(registry.getMetrics()).forEach(page::add);
    page.family(FAILED_GAUGES, "gauge").add(FAILED_GAUGES + " " + page.failedGauges);
    StringBuilder out = new StringBuilder();
    page.families.forEach(
        (name, family) -> {
          out.append("# TYPE ").append(name).append(' ').append(family.type()).append('\n');
          family.lines().forEach(line -> out.append(line).append('\n'));
        });
    return out.toString();
  }

  private void add(String registryName, Metric metric) {
    MetricName name = MetricName.parse(registryName);
    if (metric instanceof Gauge<?> gauge) {
      addGauge(name, gauge);
    } else if (metric instanceof Counter counter) {
      addLine(name, "gauge", name.family(), Long.toString(counter.getCount()));
    } else if (metric instanceof Meter meter) {
      String family = name.family() + "_total";
      addLine(name, "counter", family, Long.toString(meter.getCount()));
    } else if (metric instanceof Histogram h) {
      addSummary(name, name.family(), h.getSnapshot(), h.getCount(), 1);
    } else if (metric instanceof Timer t) {
      String family = name.family() + "_seconds";
      addSummary(name, family, t.getSnapshot(), t.getCount(), NANOS_PER_SECOND);
    }
  }

  private void addGauge(MetricName name, Gauge<?> gauge) {
    Object value;
    try {
      value = gauge.getValue();
    } catch (RuntimeException e) {
      failedGauges++;
      return;
    }
    if (value instanceof Boolean b) {
      addLine(name, "gauge", name.family(), b ? "1" : "0");
    } else if (value instanceof Number n) {
      addLine(name, "gauge", name.family(), number(n));
    }
  }

  private void addSummary(
      MetricName name, String family, Snapshot snapshot, long count, double divisor) {
    List<String> lines = family(family, "summary");
    for (double q : QUANTILES) {
      String value = number(snapshot.getValue(q) / divisor);
      lines.add(family + name.labelSet("quantile=\"" + q + "\"") + " " + value);
    }
    lines.add(family + "_count" + name.labelSet("") + " " + count);
  }

  private void addLine(MetricName name, String type, String family, String value) {
    family(family, type).add(family + name.labelSet("") + " " + value);
  }

  private List<String> family(String name, String type) {
    return families.computeIfAbsent(name, n -> new Family(type, new ArrayList<>())).lines();
  }

  private static String number(Number n) {
    if (n instanceof Integer || n instanceof Long) {
      return n.toString();
    }
    double d = n.doubleValue();
    if (Double.isInfinite(d)) {
      return d > 0 ? "+Inf" : "-Inf";
    }
    return Double.toString(d);
  }

  /** All samples of one metric name, which the format requires to be grouped. */
  private record Family(String type, List<String> lines) {}
}
