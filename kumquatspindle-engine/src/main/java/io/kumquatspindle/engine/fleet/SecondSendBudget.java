package io.kumquatspindle.engine.fleet;

import java.util.ArrayDeque;

/**
 * This VM's share of the second sends to one service. Answers endpoints that fail many requests at
 * once: repeats stay a bounded part of the load over any window.
 */
public final class SecondSendBudget {
  /** Part of the stated budget that is used; the rest covers what VMs count differently. */
  private static final double SAFETY = 0.8;

  private final ArrayDeque<Long> requests = new ArrayDeque<>();
  private final ArrayDeque<Long> repeats = new ArrayDeque<>();
  private final long windowMs;
  private final double ratio;
  private final double extra;

  /**
   * Creates a budget.
   *
   * @param windowMs length of the sliding window, in ms
   * @param ratio repeats allowed for each request of the window
   * @param extra repeats always allowed in a window, over all VMs
   */
  public SecondSendBudget(long windowMs, double ratio, double extra) {
    this.windowMs = windowMs;
    this.ratio = ratio;
    this.extra = extra;
  }

  /**
   * Counts a request.
   *
   * @param now present time, in ms
   */
  public void request(long now) {
    requests.addLast(now);
    trim(requests, now);
  }

  /**
   * Takes one repeat.
   *
   * @param vms number of VMs that share the budget, at least 1
   * @param now present time, in ms
   * @return whether it is allowed
   */
  public boolean tryRepeat(int vms, long now) {
    trim(requests, now);
    trim(repeats, now);
    if (repeats.size() + 1 > SAFETY * (ratio * requests.size() + extra / vms)) {
      return false;
    }
    repeats.addLast(now);
    return true;
  }

  private void trim(ArrayDeque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() <= now - windowMs) {
      times.removeFirst();
    }
  }
}
