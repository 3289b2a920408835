package io.kumquatspindle.bench.slopes;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The values of one metrics page.
 *
 * @param atNanos when the page was read
 * @param values values by name with labels
 */
record MetricsPage(long atNanos, Map<String, Double> values) {
  private static final double NANOS_PER_SECOND = 1e9;
  // The page does not tell sums from levels, since a counter of the registry can go down.
  private static final List<String> SUMS =
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

  /** Returns sums as change a second since an earlier page, and levels as they are. */
  Map<String, Double> since(MetricsPage earlier) {
    double seconds = (atNanos - earlier.atNanos) / NANOS_PER_SECOND;
    Map<String, Double> result = new TreeMap<>();
    values.forEach(
        (name, value) -> {
          boolean sum = SUMS.stream().anyMatch(name::startsWith);
          double before = earlier.values.getOrDefault(name, 0.0);
          result.put(name, sum ? (value - before) / seconds : value);
        });
    return result;
  }
}
