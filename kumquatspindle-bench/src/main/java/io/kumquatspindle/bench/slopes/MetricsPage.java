package io.kumquatspindle.bench.slopes;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Values of a metrics page.
 *
 * @param atNanos the time at which the page was read, as {@code System.nanoTime()}
 * @param values the values by metric name, including labels
 */
record MetricsPage(long atNanos, Map<String, Double> values) {
  private static final double NANOS_PER_SECOND = 1e9;
  // Prefixes of the cumulative metrics. The page does not distinguish them from gauges, since a
  // counter of the metrics registry can also decrease.
  private static final List<String> COUNTER_PREFIXES =
      List.of(
          "link_bytes_",
          "link_frames_",
          "link_message",
          "http_",
          "log_",
          "process_cpu_seconds",
          "thread_cpu_seconds",
          "duty_events",
          "duty_rejected");

  static MetricsPage parse(String text, long atNanos) {
    Map<String, Double> values = new TreeMap<>();
    text.lines()
        .filter(l -> !l.isEmpty() && !l.startsWith("#"))
        .forEach(
            l -> {
              int space = l.lastIndexOf(' ');
              values.put(l.substring(0, space), Double.parseDouble(l.substring(space + 1)));
            });
    return new MetricsPage(atNanos, values);
  }

  /** Returns cumulative metrics as rates per second since an earlier page, and gauges unchanged. */
  Map<String, Double> ratesSince(MetricsPage earlier) {
    double seconds = (atNanos - earlier.atNanos) / NANOS_PER_SECOND;
    Map<String, Double> result = new TreeMap<>();
    values.forEach(
        (name, value) -> {
          boolean counter = COUNTER_PREFIXES.stream().anyMatch(name::startsWith);
          double before = earlier.values.getOrDefault(name, 0.0);
          result.put(name, counter ? (value - before) / seconds : value);
        });
    return result;
  }
}
