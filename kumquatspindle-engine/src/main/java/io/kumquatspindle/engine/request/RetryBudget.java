package io.kumquatspindle.engine.request;

import java.util.Arrays;

/**
 * Limits extra attempts to a share of the requests of a sliding window, so that retries cannot
 * multiply the load of endpoints that fail. Not safe for use by several threads.
 */
public final class RetryBudget {
  /** Extra attempts allowed, relative to the requests in the window. */
  public static final double RATIO = 0.1;

  /** Extra attempts that are always allowed in the window. */
  public static final int MINIMUM = 3;

  /** Length of the window in milliseconds. */
  public static final long WINDOW_MS = 10_000;

  private static final int BUCKETS = 10;
  private static final long BUCKET_MS = WINDOW_MS / BUCKETS;

  private final long[] requests = new long[BUCKETS];
  private final long[] retries = new long[BUCKETS];
  private long newest;

  /**
   * Creates a budget.
   *
   * @param nowMs current time in milliseconds
   */
  public RetryBudget(long nowMs) {
    newest = Math.floorDiv(nowMs, BUCKET_MS);
  }

  /**
   * Counts a request.
   *
   * @param nowMs current time in milliseconds
   */
  public void request(long nowMs) {
    advance(nowMs);
    requests[index(newest)]++;
  }

  /**
   * Takes one extra attempt out of the budget.
   *
   * @param nowMs current time in milliseconds
   * @return whether the extra attempt is allowed; if not, nothing is taken
   */
  public boolean tryRetry(long nowMs) {
    advance(nowMs);
    double allowed = Math.max(MINIMUM, RATIO * Arrays.stream(requests).sum());
    if (Arrays.stream(retries).sum() + 1 > allowed) {
      return false;
    }
    retries[index(newest)]++;
    return true;
  }

  private void advance(long nowMs) {
    long now = Math.floorDiv(nowMs, BUCKET_MS);
    long from = Math.max(newest + 1, now - BUCKETS + 1);
    for (long b = from; b <= now; b++) {
      requests[index(b)] = 0;
      retries[index(b)] = 0;
    }
    newest = Math.max(newest, now);
  }

  private static int index(long bucket) {
    return Math.floorMod(bucket, BUCKETS);
  }
}
