package io.kumquatspindle.bench.slopes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Slopes")
class SlopesTests {
  private static final Row BASE = new Row(6, 3, 1_000, 30, 1, 10);

  @Nested
  @DisplayName("a linear fit")
  class Fit {

    @Test
    @DisplayName("reproduces collinear points with zero error")
    void fitsExactLine() {
      LinearFit f = LinearFit.of(new double[] {1, 2, 4}, new double[] {5, 7, 11});
      assertEquals(3, f.intercept(), 1e-9);
      assertEquals(2, f.slope(), 1e-9);
      assertEquals(0, f.slopeError(), 1e-6);
      assertEquals(1, f.r2(), 1e-9);
    }

    @Test
    @DisplayName("computes the standard error of the slope of ordinary least squares")
    void computesStandardError() {
      // Slope 0.5; residuals -1/6, 1/3, -1/6 with a sum of squares of 1/6; Sxx = 2; one degree of
      // freedom.
      LinearFit f = LinearFit.of(new double[] {0, 1, 2}, new double[] {0, 1, 1});
      assertEquals(0.5, f.slope(), 1e-9);
      assertEquals(Math.sqrt(1.0 / 6 / 2), f.slopeError(), 1e-9);
    }

    @Test
    @DisplayName("is rejected when all points have the same x")
    void rejectsIdenticalX() {
      double[] same = {2, 2, 2};
      assertThrows(IllegalArgumentException.class, () -> LinearFit.of(same, same));
    }
  }

  @Nested
  @DisplayName("metrics pages")
  class MetricsPages {

    @Test
    @DisplayName("convert counters to a rate per second and keep gauges unchanged")
    void computesRates() {
      String first = "# TYPE x gauge\nlink_bytes_in{kind=\"peer\"} 100\njvm_threads 5\n";
      String second = "link_bytes_in{kind=\"peer\"} 300\njvm_threads 7\n";
      Map<String, Double> m =
          MetricsPage.parse(second, 2_000_000_000L).ratesSince(MetricsPage.parse(first, 0));
      assertEquals(Map.of("link_bytes_in{kind=\"peer\"}", 100.0, "jvm_threads", 7.0), m);
    }
  }

  @Nested
  @DisplayName("the expected size")
  class ExpectedSize {

    @Test
    @DisplayName(
        "adds slope times distance from the base row, and ignores rows that vary two factors")
    void sumsSlopes() {
      List<RunResult> rows =
          List.of(
              heapResult(BASE, 20),
              heapResult(BASE.withVms(12), 26),
              heapResult(BASE.withVms(18), 32),
              heapResult(BASE.withArtifacts(2_000), 21),
              heapResult(BASE.withArtifacts(3_000), 22),
              heapResult(BASE.withVms(12).withArtifacts(5_000), 1_000));
      Slopes s = Slopes.of(BASE, rows);
      assertEquals(20 + 344 + 3.52, s.expected("live heap, MB"), 1e-6);
      assertTrue(s.lines().stream().noneMatch(l -> l.factor().equals(Factor.LOADS.title)));
    }

    private RunResult heapResult(Row row, double mb) {
      return new RunResult(row, Map.of("live_heap_bytes", mb * 1e6));
    }
  }
}
