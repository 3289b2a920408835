package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.time.Duration;

/**
 * Blocking pauses, used between polls of other processes, which send no notifications, and to let a
 * system settle.
 */
public final class Pause {
  private Pause() {}

  /**
   * Blocks the current thread.
   *
   * @param duration the time to wait
   * @throws IOException if the thread is interrupted, which aborts the run
   */
  public static void sleep(Duration duration) throws IOException {
    try {
      Thread.sleep(duration.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting", e);
    }
  }
}
