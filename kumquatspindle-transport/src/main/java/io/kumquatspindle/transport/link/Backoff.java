package io.kumquatspindle.transport.link;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter between connection attempts, up to a maximum delay. */
final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final long minMs;
  private final long maxMs;
  private final RandomGenerator random;
  private int attempts;

  Backoff(long minMs, long maxMs, RandomGenerator random) {
    this.minMs = minMs;
    this.maxMs = maxMs;
    this.random = random;
  }

  /** Returns a delay between 50 % and 100 % of the current step, then advances to the next step. */
  long nextMs() {
    long step = Math.min(maxMs, minMs << Math.min(attempts, MAX_DOUBLINGS));
    attempts++;
    long half = step / 2;
    return half + random.nextLong(step - half + 1);
  }

  void reset() {
    attempts = 0;
  }
}
