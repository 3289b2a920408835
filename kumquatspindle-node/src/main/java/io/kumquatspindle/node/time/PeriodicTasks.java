package io.kumquatspindle.node.time;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Runs the periodic tasks of a VM on its event loop. Needed for fleets of mostly idle VMs, on which
 * the wake-ups of the event loop cost more than the work: all tasks share one timer, a task that
 * depends on work runs rarely while there is none, and the timer ticks at multiples of {@link
 * #TICK_MS} of the wall clock, so that the messages of VMs with similar clocks arrive together.
 */
public final class PeriodicTasks {
  /** Interval of the timer, in ms; all intervals of tasks are multiples of it. */
  public static final long TICK_MS = 100;

  private final Scheduler scheduler;
  private final LongSupplier clock;
  private final LongSupplier wallClock;
  private final long workIntervalMs;
  private final List<Task> tasks = new ArrayList<>();
  private final List<WorkTask> workTasks = new ArrayList<>();
  private boolean workScheduled;

  /** Runs a task once on the event loop after a delay. */
  public interface Scheduler {
    /**
     * Schedules a task.
     *
     * @param delayMs delay in ms
     * @param task the task
     */
    void schedule(long delayMs, Runnable task);
  }

  private static final class Task {
    private final long intervalMs;
    private final Runnable runnable;
    private long dueMs;

    private Task(long intervalMs, Runnable runnable, long dueMs) {
      this.intervalMs = intervalMs;
      this.runnable = runnable;
      this.dueMs = dueMs;
    }
  }

  private record WorkTask(BooleanSupplier hasWork, Runnable runnable) {}

  /**
   * Creates the service without tasks.
   *
   * @param scheduler schedules on the event loop
   * @param clock monotonic clock, in ms
   * @param wallClock wall clock, in ms
   * @param workIntervalMs interval of the tasks that have work, in ms; shorter than {@link
   *     #TICK_MS}
   */
  public PeriodicTasks(
      Scheduler scheduler, LongSupplier clock, LongSupplier wallClock, long workIntervalMs) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.wallClock = wallClock;
    this.workIntervalMs = workIntervalMs;
  }

  /**
   * Adds a task that runs at regular intervals.
   *
   * @param intervalMs the interval, in ms; a multiple of {@link #TICK_MS}
   * @param task the task; must not throw
   * @throws IllegalArgumentException if the interval is not a multiple of {@link #TICK_MS}
   */
  public void every(long intervalMs, Runnable task) {
    if (intervalMs <= 0 || intervalMs % TICK_MS != 0) {
      throw new IllegalArgumentException(
          "interval must be a multiple of " + TICK_MS + " ms: " + intervalMs);
    }
    tasks.add(new Task(intervalMs, task, clock.getAsLong() + intervalMs));
  }

  /**
   * Adds a task that runs with each tick, and at the shorter interval while there is work for it.
   *
   * @param hasWork returns whether there is work
   * @param task the task; must not throw
   */
  public void whileWorking(BooleanSupplier hasWork, Runnable task) {
    workTasks.add(new WorkTask(hasWork, task));
  }

  /** Starts the timer. */
  public void start() {
    scheduleTick();
  }

  /** Handles that there may be work now, without waiting for the next tick. */
  public void wake() {
    if (!workScheduled) {
      workScheduled = true;
      scheduler.schedule(workIntervalMs, this::work);
    }
  }

  private void scheduleTick() {
    long untilNextMs = TICK_MS - Math.floorMod(wallClock.getAsLong(), TICK_MS);
    // A wall clock that stands still must not shorten the interval each time.
    long delayMs = untilNextMs < TICK_MS / 2 ? untilNextMs + TICK_MS : untilNextMs;
    scheduler.schedule(delayMs, this::tick);
  }

  private void tick() {
    // Scheduled first, so that an error in a task does not end all of them.
    scheduleTick();
    long now = clock.getAsLong();
    for (Task t : tasks) {
      // Half a tick early, so that late ticks and adjusted clocks do not stretch the interval.
      if (now >= t.dueMs - TICK_MS / 2) {
        t.dueMs = now + t.intervalMs;
        t.runnable.run();
      }
    }
    if (!workScheduled) {
      runWorkTasks();
    }
  }

  private void work() {
    workScheduled = false;
    runWorkTasks();
  }

  private void runWorkTasks() {
    workTasks.forEach(w -> w.runnable().run());
    if (workTasks.stream().anyMatch(w -> w.hasWork().getAsBoolean())) {
      wake();
    }
  }
}
