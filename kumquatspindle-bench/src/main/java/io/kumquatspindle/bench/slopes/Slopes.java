package io.kumquatspindle.bench.slopes;

import java.util.ArrayList;
import java.util.List;

/**
 * Lines of all measures over all factors, and the values they give at the expected size.
 *
 * @param lines one line for each measure and factor
 * @param expected one value for each measure
 */
record Slopes(List<Line> lines, List<Expected> expected) {

  /**
   * The line of one measure over one factor.
   *
   * @param measure name of the measure
   * @param factor name of the factor
   * @param x values of the factor
   * @param y values of the measure
   * @param fit the line
   */
  record Line(String measure, String factor, double[] x, double[] y, LinearFit fit) {}

  /**
   * The value of a measure at the expected size: its value at the base, plus each slope times the
   * distance of its factor from the base.
   *
   * @param measure name of the measure
   * @param base value at the base
   * @param value value at the expected size
   * @param error standard error, from those of the slopes
   */
  record Expected(String measure, double base, double value, double error) {}

  static Slopes of(Row base, List<RowResult> results) {
    List<Line> lines = new ArrayList<>();
    List<Expected> expected = new ArrayList<>();
    for (Measure m : Measure.all()) {
      double value = valueAt(base, m, results);
      double start = value;
      double variance = 0;
      for (Factor f : Factor.values()) {
        List<RowResult> series = f.select(base, results);
        if (m.polled() != (f == Factor.POLLED) || series.size() < 2) {
          continue;
        }
        double[] x = series.stream().mapToDouble(r -> f.value.applyAsDouble(r.row())).toArray();
        double[] y = series.stream().mapToDouble(m.of()).toArray();
        LinearFit fit = LinearFit.of(x, y);
        lines.add(new Line(m.name(), f.title, x, y, fit));
        double distance = f.expected - f.value.applyAsDouble(base);
        value += fit.slope() * distance;
        double error = Double.isNaN(fit.slopeError()) ? 0 : fit.slopeError() * distance;
        variance += error * error;
      }
      expected.add(new Expected(m.name(), start, value, Math.sqrt(variance)));
    }
    return new Slopes(lines, expected);
  }

  private static double valueAt(Row base, Measure m, List<RowResult> results) {
    return results.stream()
        .filter(r -> r.row().equals(base))
        .mapToDouble(m.of())
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no run at the base"));
  }

  double expected(String measure) {
    return expected.stream()
        .filter(e -> e.measure().equals(measure))
        .mapToDouble(Expected::value)
        .findFirst()
        .orElse(Double.NaN);
  }
}
