package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.time.Duration;

/**
 * Pauses of the bench: between looks at other processes, which give no notice, and for settling.
 */
public final class Pause {
  private Pause() {}

  /**
   * Waits for a time.
   *
   * @param time the time
   * @throws IOException if the thread is interrupted, which ends the run
   */
  public static void of(Duration time) throws IOException {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
