package io.kumquatspindle.api.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Timer;
import java.time.Duration;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("MetricsText")
class MetricsTextTests {

  @Test
  @DisplayName("renders each type of metric, with the samples of a name grouped")
  void writesPage() {
    MetricRegistry r = new MetricRegistry();
    r.counter(MetricsText.name("requests.open", "customer", "gas")).inc(3);
    r.counter(MetricsText.name("requests.open", "customer", "a\"b\\c\nd")).inc(4);
    r.counter("requests.open2").inc();
    r.counter("requests.open").dec();
    r.meter(MetricsText.name("refused", "kind", "over_rate", "vm", "v-1")).mark(5);
    r.registerGauge("config-number", () -> 12L);
    r.registerGauge("9lives", () -> Double.POSITIVE_INFINITY);
    r.registerGauge("ratio", () -> Double.NaN);
    r.registerGauge("leaving", () -> true);
    r.registerGauge("text", () -> "left out");
    r.registerGauge("broken", (Gauge<Integer>) () -> Integer.parseInt("left out"));
    r.counter("malformed{label}").inc();
    Histogram h = r.register("batch", new Histogram(new SlidingWindowReservoir(100)));
    Timer t = new Timer(new SlidingWindowReservoir(100));
    r.register(MetricsText.name("append", "stream", "tickets"), t);
    for (int i = 1; i <= 100; i++) {
      h.update(i);
      t.update(Duration.ofMillis(i * 10L));
    }
    Approvals.verify(MetricsText.of(r));
  }

  @Test
  @DisplayName("rejects a label without a value")
  void rejectsLabelWithoutValue() {
    assertThrows(IllegalArgumentException.class, () -> MetricsText.name("n", "key"));
    assertEquals("n", MetricsText.name("n"));
  }
}
