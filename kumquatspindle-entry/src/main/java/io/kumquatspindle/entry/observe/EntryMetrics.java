package io.kumquatspindle.entry.observe;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.function.IntSupplier;

/** The measurements of the entry program. */
public final class EntryMetrics {
  private final MetricRegistry registry = new MetricRegistry();

  /**
   * Returns the registry behind the measurements.
   *
   * @return the registry
   */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Counts a request that ended.
   *
   * @param kind {@code ok}, {@code caller_left} or the name of an error kind in lower case
   * @param latencyMs time since its arrival in milliseconds
   */
  public void requestEnded(String kind, long latencyMs) {
    registry.counter("requests{kind=\"" + kind + "\"}").inc();
    registry.timer("request_latency").update(Duration.ofMillis(latencyMs));
  }

  /**
   * Records the time until the first byte of an answer was there.
   *
   * @param latencyMs time since the request's arrival in milliseconds
   */
  public void firstByte(long latencyMs) {
    registry.timer("first_byte_latency").update(Duration.ofMillis(latencyMs));
  }

  /**
   * Records the time that a request waited for its model.
   *
   * @param waitMs the time in milliseconds
   */
  public void waited(long waitMs) {
    registry.timer("model_wait").update(Duration.ofMillis(waitMs));
  }

  /** Counts an extra attempt. */
  public void retried() {
    registry.counter("retries").inc();
  }

  /**
   * Counts the tokens that a request used.
   *
   * @param tokens the tokens
   */
  public void tokensUsed(long tokens) {
    registry.counter("tokens").inc(tokens);
  }

  /**
   * Registers a value that is read when the page is read.
   *
   * @param name name of the gauge
   * @param value reads the value
   */
  public void gauge(String name, IntSupplier value) {
    registry.register(name, (Gauge<Integer>) value::getAsInt);
  }
}
