package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.fail;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for a condition, with a limit. */
final class Waiting {
  private static final long POLL_MS = 25;

  private Waiting() {}

  /** Returns the time until the condition held, or fails at the limit. */
  static Duration until(String what, Duration limit, Callable<Boolean> condition) throws Exception {
    long start = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - start > limit.toNanos()) {
        fail(what + " did not happen within " + limit.toMillis() + " ms");
      }
      Thread.sleep(POLL_MS);
    }
    return Duration.ofNanos(System.nanoTime() - start);
  }
}
