package io.kumquatspindle.bench.slopes;

import java.util.ArrayList;
import java.util.List;

/**
 * Linear fits of all metrics against all factors, and the extrapolation to the expected size.
 *
 * @param lines one fit per metric and factor
 * @param expected one extrapolated value per metric
 */
record Slopes(List<Line> lines, List<Expected> expected) {

  /**
   * Linear fit of one metric against one factor.
   *
   * @param measure the name of the metric
   * @param factor the name of the factor
   * @param x the values of the factor
   * @param y the values of the metric
   * @param fit the fitted line
   */
  record Line(String measure, String factor, double[] x, double[] y, LinearFit fit) {}

  /**
   * Extrapolated value of a metric at the expected size: the value at the base, plus for each
   * factor the slope times the distance of the factor from its base value.
   *
   * @param measure the name of the metric
   * @param base the value at the base
   * @param value the value at the expected size
   * @param error the standard error, derived from the standard errors of the slopes
   */
  record Expected(String measure, double base, double value, double error) {}

  static Slopes of(Row base, List<RunResult> results) {
    List<Line> lines = new ArrayList<>();
    List<Expected> expected = new ArrayList<>();
    for (FittedMetric metric : FittedMetric.all()) {
      double value = baseValue(base, metric, results);
      double baseValue = value;
      double variance = 0;
      for (Factor factor : Factor.values()) {
        List<RunResult> series = factor.select(base, results);
        if (metric.polled() != (factor == Factor.POLLED) || series.size() < 2) {
          continue;
        }
        double[] x =
            series.stream().mapToDouble(r -> factor.value.applyAsDouble(r.row())).toArray();
        double[] y = series.stream().mapToDouble(metric.of()).toArray();
        LinearFit fit = LinearFit.of(x, y);
        lines.add(new Line(metric.name(), factor.title, x, y, fit));
        double distance = factor.expected - factor.value.applyAsDouble(base);
        value += fit.slope() * distance;
        double error = Double.isNaN(fit.slopeError()) ? 0 : fit.slopeError() * distance;
        variance += error * error;
      }
      expected.add(new Expected(metric.name(), baseValue, value, Math.sqrt(variance)));
    }
    return new Slopes(lines, expected);
  }

  private static double baseValue(Row base, FittedMetric m, List<RunResult> results) {
    return results.stream()
        .filter(r -> r.row().equals(base))
        .mapToDouble(m.of())
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no run with the base parameters"));
  }

  double expected(String measure) {
    return expected.stream()
        .filter(e -> e.measure().equals(measure))
        .mapToDouble(Expected::value)
        .findFirst()
        .orElse(Double.NaN);
  }
}
