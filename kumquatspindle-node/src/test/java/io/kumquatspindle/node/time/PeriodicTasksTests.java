package io.kumquatspindle.node.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Periodic tasks")
class PeriodicTasksTests {
  private static final long WORK_INTERVAL_MS = 20;

  private final Queue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::atMs));
  private final PeriodicTasks tasks =
      new PeriodicTasks(
          (delayMs, task) -> timers.add(new Timer(this.now + delayMs, task)),
          () -> this.now,
          () -> this.wallClockMs.applyAsLong(this.now),
          WORK_INTERVAL_MS);
  private LongUnaryOperator wallClockMs = ms -> ms + 1_787_817_098_033L;
  private long now;
  private int wakeUps;

  private record Timer(long atMs, Runnable task) {}

  private void runUntil(long untilMs) {
    while (timers.peek().atMs() <= untilMs) {
      Timer t = timers.poll();
      now = t.atMs();
      wakeUps++;
      t.task().run();
    }
    now = untilMs;
  }

  @Test
  @DisplayName("run at their intervals")
  void intervals() {
    AtomicInteger fast = new AtomicInteger();
    AtomicInteger slow = new AtomicInteger();
    tasks.every(100, fast::incrementAndGet);
    tasks.every(300, slow::incrementAndGet);
    tasks.start();
    runUntil(30_000);

    assertEquals(300, fast.get(), 1);
    assertEquals(100, slow.get(), 1);
  }

  @Test
  @DisplayName("of an idle VM wake its event loop ten times a second at most")
  void idleWakeUps() {
    for (long intervalMs : List.of(100, 200, 300, 300, 5_000)) {
      tasks.every(intervalMs, () -> {});
    }
    tasks.whileWorking(() -> false, () -> {});
    tasks.whileWorking(() -> false, () -> {});
    tasks.start();
    runUntil(10_000);

    assertTrue(wakeUps <= 101, wakeUps + " wake-ups in 10 s");
  }

  @Test
  @DisplayName("run at multiples of the interval of the wall clock, together with other VMs")
  void alignedToWallClock() {
    List<Long> times = new ArrayList<>();
    tasks.every(200, () -> times.add(wallClockMs.applyAsLong(now)));
    tasks.start();
    runUntil(5_000);

    assertEquals(25, times.size(), 1);
    times.forEach(t -> assertEquals(0, t % PeriodicTasks.TICK_MS));
  }

  @Test
  @DisplayName("keep their interval if the wall clock stands still")
  void stoppedWallClock() {
    wallClockMs = ms -> 99;
    tasks.every(100, () -> {});
    tasks.start();
    runUntil(10_000);

    assertTrue(wakeUps <= 101, wakeUps + " wake-ups in 10 s");
  }

  @Test
  @DisplayName("go on after an error of one of them")
  void errorOfTask() {
    AtomicInteger runs = new AtomicInteger();
    tasks.every(
        100,
        () -> {
          if (runs.incrementAndGet() == 3) {
            throw new OutOfMemoryError("direct memory");
          }
        });
    tasks.start();

    assertThrows(OutOfMemoryError.class, () -> runUntil(1_000));
    runUntil(1_000);
    assertEquals(10, runs.get(), 1);
  }

  @Test
  @DisplayName("that depend on work run often while there is some, and soon after it arrives")
  void work() {
    AtomicInteger work = new AtomicInteger();
    List<Long> runs = new ArrayList<>();
    tasks.whileWorking(
        () -> work.get() > 0,
        () -> {
          runs.add(now);
          work.updateAndGet(w -> Math.max(0, w - 1));
        });
    tasks.start();
    runUntil(1_010);
    runs.clear();
    work.set(10);
    tasks.wake();
    runUntil(2_000);

    assertEquals(1_010 + WORK_INTERVAL_MS, runs.get(0));
    assertEquals(0, work.get());
    assertTrue(runs.get(9) <= 1_010 + 10 * WORK_INTERVAL_MS, runs.toString());
    assertTrue(runs.size() <= 20, runs.size() + " runs");
  }

  @Test
  @DisplayName("must have an interval that the timer can keep")
  void invalidInterval() {
    assertThrows(IllegalArgumentException.class, () -> tasks.every(150, () -> {}));
  }
}
