package io.kumquatspindle.engine.fleet;

import java.util.ArrayDeque;

/**
 * This VM's share of the retry budget of one service. When endpoints fail many requests at once,
 * retries remain a bounded fraction of the load in any time window.
 */
public final class RetryBudgetShare {
  /**
   * Fraction of the configured budget that is used; the remainder allows for different counts at
   * different VMs.
   */
  private static final double SAFETY_FACTOR = 0.8;

  private final ArrayDeque<Long> requests = new ArrayDeque<>();
  private final ArrayDeque<Long> retries = new ArrayDeque<>();
  private final long windowMs;
  private final double ratio;
  private final double extra;

  /**
   * Creates a budget.
   *
   * @param windowMs length of the sliding window, in ms
   * @param ratio retries allowed per request in the window
   * @param extra additional retries allowed per window, across all VMs
   */
  public RetryBudgetShare(long windowMs, double ratio, double extra) {
    this.windowMs = windowMs;
    this.ratio = ratio;
    this.extra = extra;
  }

  /**
   * Records a request.
   *
   * @param now current time, in ms
   */
  public void recordRequest(long now) {
    requests.addLast(now);
    trim(requests, now);
  }

  /**
   * Acquires one retry from the budget.
   *
   * @param vms number of VMs that share the budget, at least 1
   * @param now current time, in ms
   * @return whether the retry is allowed
   */
  public boolean tryRetry(int vms, long now) {
    trim(requests, now);
    trim(retries, now);
    if (retries.size() + 1 > SAFETY_FACTOR * (ratio * requests.size() + extra / vms)) {
      return false;
    }
    retries.addLast(now);
    return true;
  }

  private void trim(ArrayDeque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() <= now - windowMs) {
      times.removeFirst();
    }
  }
}
