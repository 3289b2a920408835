package io.kumquatspindle.node.observe;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Measures how much of the event loop's time each kind of task takes. The time of a nested task is
 * not counted for the enclosing one. Used on the event loop only.
 */
public final class TaskTimer {
  /** Name of the counters of execution time, in microseconds. */
  static final String TIME_METRIC = "duty_us_total";

  /** Name of the counters of executions. */
  static final String RUNS_METRIC = "duty_runs_total";

  private static final long NANOS_PER_MICRO = 1_000;

  private final MetricRegistry metrics;
  private final LongSupplier nanoClock;
  private final Map<String, Task> tasks = new HashMap<>();
  private Task running;
  private long lastChargeNanos;

  /**
   * Creates a timer.
   *
   * @param metrics registry for the counters
   * @param nanoClock monotonic clock, in ns
   */
  public TaskTimer(MetricRegistry metrics, LongSupplier nanoClock) {
    this.metrics = metrics;
    this.nanoClock = nanoClock;
  }

  /**
   * Runs a task and counts its execution time.
   *
   * @param name name of the task, from a fixed set because it becomes a metric label
   * @param task the task
   */
  public void run(String name, Runnable task) {
    Task outer = running;
    charge(outer);
    running = tasks.computeIfAbsent(name, Task::new);
    running.runs.inc();
    try {
      task.run();
    } finally {
      charge(running);
      running = outer;
    }
  }

  private void charge(Task task) {
    long now = nanoClock.getAsLong();
    if (task != null) {
      task.remainderNanos += now - lastChargeNanos;
      task.micros.inc(task.remainderNanos / NANOS_PER_MICRO);
      task.remainderNanos %= NANOS_PER_MICRO;
    }
    lastChargeNanos = now;
  }

  private final class Task {
    private final Counter micros;
    private final Counter runs;
    private long remainderNanos;

    private Task(String name) {
      micros = metrics.counter(MetricsText.name(TIME_METRIC, "duty", name));
      runs = metrics.counter(MetricsText.name(RUNS_METRIC, "duty", name));
    }
  }
}
