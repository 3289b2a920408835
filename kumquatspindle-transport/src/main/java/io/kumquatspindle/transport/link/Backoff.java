package io.kumquatspindle.transport.link;

import java.util.random.RandomGenerator;

/** Delays between attempts to connect: doubled each time, with jitter, up to a limit. */
final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final long minMs;
  private final long maxMs;
  private final RandomGenerator random;
  private int failures;

  Backoff(long minMs, long maxMs, RandomGenerator random) {
    this.minMs = minMs;
    this.maxMs = maxMs;
    this.random = random;
  }

  /** Returns a delay between half and the whole of the present step, and goes to the next step. */
  long nextMs() {
    long step = Math.min(maxMs, minMs << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    long half = step / 2;
    return half + random.nextLong(step - half + 1);
  }

  void reset() {
    failures = 0;
  }
}
