package io.kumquatspindle.transport.link;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Detects pauses of an I/O thread, such as those of a suspended or overloaded VM. Used on that
 * thread only.
 */
final class PauseDetector {
  /** Delay of a periodic task that counts as a pause, in multiples of its interval. */
  private static final int PAUSE_INTERVALS = 2;

  private final long intervalMs;
  private ScheduledFuture<?> task;
  private long lastRunNanos;
  private long pauseEndNanos;
  private boolean paused;

  /**
   * Creates a detector that is not started.
   *
   * @param intervalMs interval of the checks, in ms
   */
  PauseDetector(long intervalMs) {
    this.intervalMs = intervalMs;
  }

  /**
   * Starts the checks.
   *
   * @param thread the observed thread
   */
  void start(EventExecutor thread) {
    lastRunNanos = System.nanoTime();
    task =
        thread.scheduleWithFixedDelay(this::check, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  void stop() {
    if (task != null) {
      task.cancel(false);
    }
  }

  private void check() {
    long now = System.nanoTime();
    if (now - lastRunNanos > TimeUnit.MILLISECONDS.toNanos(PAUSE_INTERVALS * intervalMs)) {
      paused = true;
      pauseEndNanos = now;
    }
    lastRunNanos = now;
  }

  /**
   * Returns whether the thread resumed from a pause within the given time.
   *
   * @param ms time in ms
   * @return whether there was a pause
   */
  boolean pausedWithin(long ms) {
    check();
    return paused && System.nanoTime() - pauseEndNanos < TimeUnit.MILLISECONDS.toNanos(ms);
  }
}
