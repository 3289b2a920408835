package io.kumquatspindle.entry.observe;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.transport.callers.ConnectionClosings;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.time.Duration;
import java.util.Objects;
import java.util.function.IntSupplier;

/** Metrics of the entry program. */
public final class EntryMetrics {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final MetricRegistry registry = new MetricRegistry();

  /** Creates the metrics, including gauges for the heap of the process. */
  public EntryMetrics() {
    Runtime jvm = Runtime.getRuntime();
    Gauge<Long> used = () -> jvm.totalMemory() - jvm.freeMemory();
    Gauge<Long> live = EntryMetrics::liveHeapBytes;
    registry.register("jvm_heap_used_bytes", used);
    registry.register("jvm_heap_after_gc_bytes", live);
  }

  /**
   * Returns the registry that holds the metrics.
   *
   * @return the registry
   */
  public MetricRegistry registry() {
    return registry;
  }

  /**
   * Records the outcome and latency of a request.
   *
   * @param kind {@code ok}, {@code caller_left} or the name of an error kind in lower case
   * @param latencyMs time since its arrival in milliseconds
   */
  public void recordRequest(String kind, long latencyMs) {
    registry.counter("requests{kind=\"" + kind + "\"}").inc();
    registry.timer("request_latency").update(Duration.ofMillis(latencyMs));
  }

  /**
   * Records the time to the first byte of a response.
   *
   * @param latencyMs time since the request's arrival in milliseconds
   */
  public void recordFirstByte(long latencyMs) {
    registry.timer("first_byte_latency").update(Duration.ofMillis(latencyMs));
  }

  /**
   * Records the time that a request waited for its model.
   *
   * @param waitMs the time in milliseconds
   */
  public void recordModelWait(long waitMs) {
    registry.timer("model_wait").update(Duration.ofMillis(waitMs));
  }

  /** Counts a retry. */
  public void countRetry() {
    registry.counter("retries").inc();
  }

  /**
   * Counts the tokens that a request used.
   *
   * @param tokens the tokens
   */
  public void countTokens(long tokens) {
    registry.counter("tokens").inc(tokens);
  }

  /**
   * Creates the count and the log lines of the connections to a port that are closed to protect
   * this process.
   *
   * @param port name of the port
   * @param clock the clock
   * @return records the connections
   */
  public ConnectionClosings closings(String port, MonotonicClock clock) {
    return new ConnectionClosings(EntryMetrics::logClosings, registry, clock, port);
  }

  private static void logClosings(String port, String reason, long connections, long heldKb) {
    logger.atWarning().log(
        "closed %s connections of port %s, which held %s KB: %s",
        connections, port, heldKb, reason);
  }

  /**
   * Registers a gauge.
   *
   * @param name name of the gauge
   * @param value supplies the value, whenever the metrics page is requested
   */
  public void gauge(String name, IntSupplier value) {
    registry.register(name, (Gauge<Integer>) value::getAsInt);
  }

  // Heap usage after the last collection of each memory pool, which excludes garbage created since.
  private static long liveHeapBytes() {
    return ManagementFactory.getMemoryPoolMXBeans().stream()
        .filter(p -> p.getType() == MemoryType.HEAP)
        .map(MemoryPoolMXBean::getCollectionUsage)
        .filter(Objects::nonNull)
        .mapToLong(MemoryUsage::getUsed)
        .sum();
  }
}
