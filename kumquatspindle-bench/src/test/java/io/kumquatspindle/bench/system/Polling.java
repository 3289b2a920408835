package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.fail;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Polls conditions. */
final class Polling {
  private static final long POLL_MS = 25;

  private Polling() {}

  /** Waits until the condition holds and returns the time that took; fails after the timeout. */
  static Duration until(String what, Duration timeout, Callable<Boolean> condition)
      throws Exception {
    long start = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - start > timeout.toNanos()) {
        fail(what + " did not happen within " + timeout.toMillis() + " ms");
      }
      Thread.sleep(POLL_MS);
    }
    return Duration.ofNanos(System.nanoTime() - start);
  }
}
