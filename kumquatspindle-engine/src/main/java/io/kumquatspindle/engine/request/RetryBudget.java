package io.kumquatspindle.engine.request;

import java.util.Arrays;

/**
 * Limits retries to a fraction of the requests in a sliding window, so that retries cannot multiply
 * the load on failing endpoints. Not thread-safe.
 */
public final class RetryBudget {
  /** Maximum ratio of retries to requests in the window. */
  public static final double MAX_RETRY_RATIO = 0.1;

  /** Retries that are allowed in each window regardless of the number of requests. */
  public static final int MIN_RETRIES = 3;

  /** Length of the window in milliseconds. */
  public static final long WINDOW_MS = 10_000;

  private static final int BUCKETS = 10;
  private static final long BUCKET_MS = WINDOW_MS / BUCKETS;

  private final long[] requests = new long[BUCKETS];
  private final long[] retries = new long[BUCKETS];
  private long newestBucket;

  /**
   * Creates a budget with an empty window.
   *
   * @param nowMs current time in milliseconds
   */
  public RetryBudget(long nowMs) {
    newestBucket = Math.floorDiv(nowMs, BUCKET_MS);
  }

  /**
   * Records a request.
   *
   * @param nowMs current time in milliseconds
   */
  public void recordRequest(long nowMs) {
    advance(nowMs);
    requests[index(newestBucket)]++;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nowMs current time in milliseconds
   * @return whether the retry is allowed; if not, the budget is unchanged
   */
  public boolean tryAcquireRetry(long nowMs) {
    advance(nowMs);
    double allowed = Math.max(MIN_RETRIES, MAX_RETRY_RATIO * Arrays.stream(requests).sum());
    if (Arrays.stream(retries).sum() + 1 > allowed) {
      return false;
    }
    retries[index(newestBucket)]++;
    return true;
  }

  private void advance(long nowMs) {
    long now = Math.floorDiv(nowMs, BUCKET_MS);
    long from = Math.max(newestBucket + 1, now - BUCKETS + 1);
    for (long b = from; b <= now; b++) {
      requests[index(b)] = 0;
      retries[index(b)] = 0;
    }
    newestBucket = Math.max(newestBucket, now);
  }

  private static int index(long bucket) {
    return Math.floorMod(bucket, BUCKETS);
  }
}
