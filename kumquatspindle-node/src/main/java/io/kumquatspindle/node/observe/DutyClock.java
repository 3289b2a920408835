package io.kumquatspindle.node.observe;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts what the event loop's time is spent on. A duty that runs inside another one is counted by
 * itself, and its time is not the outer one's. Used on the event loop only.
 */
public final class DutyClock {
  /** Name of the counters of time, in microseconds. */
  static final String TIME = "duty_us_total";

  /** Name of the counters of runs. */
  static final String RUNS = "duty_runs_total";

  private static final long NANOS_PER_MICRO = 1_000;

  private final MetricRegistry metrics;
  private final LongSupplier nanos;
  private final Map<String, Duty> duties = new HashMap<>();
  private Duty running;
  private long sinceNanos;

  /**
   * Creates a clock.
   *
   * @param metrics gets the counters
   * @param nanos steady time, in ns
   */
  public DutyClock(MetricRegistry metrics, LongSupplier nanos) {
    this.metrics = metrics;
    this.nanos = nanos;
  }

  /**
   * Runs a task and counts its time.
   *
   * @param name name of the duty, one of a closed set
   * @param task the task
   */
  public void run(String name, Runnable task) {
    Duty outer = running;
    charge(outer);
    running = duties.computeIfAbsent(name, Duty::new);
    running.runs.inc();
    try {
      task.run();
    } finally {
      charge(running);
      running = outer;
    }
  }

  private void charge(Duty duty) {
    long now = nanos.getAsLong();
    if (duty != null) {
      duty.restNanos += now - sinceNanos;
      duty.micros.inc(duty.restNanos / NANOS_PER_MICRO);
      duty.restNanos %= NANOS_PER_MICRO;
    }
    sinceNanos = now;
  }

  private final class Duty {
    private final Counter micros;
    private final Counter runs;
    private long restNanos;

    private Duty(String name) {
      micros = metrics.counter(MetricsText.name(TIME, "duty", name));
      runs = metrics.counter(MetricsText.name(RUNS, "duty", name));
    }
  }
}
