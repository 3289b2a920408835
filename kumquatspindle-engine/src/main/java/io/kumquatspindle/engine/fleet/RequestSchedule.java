package io.kumquatspindle.engine.fleet;

/**
 * Spaces the requests to one endpoint evenly at a rate. Handles bursts: a request reserves the next
 * free time unless that is too far away for it, and callers that are rejected are told to return
 * one after the other, each when a time becomes free. Not thread-safe: confined to one owner
 * thread.
 */
public final class RequestSchedule {
  private static final double MS_PER_SECOND = 1_000;

  /** Latest time from now at which rejected callers are told to return, in ms. */
  private static final long MAX_RETURN_MS = 10_000;

  private final boolean saving;
  private double intervalMs;
  private double nextMs;
  private double nextReturnMs;

  /**
   * Creates a schedule.
   *
   * @param ratePerS requests per second, more than 0
   * @param firstMs the first time, in ms
   * @param saving whether one unused time may be made up for; otherwise unused times are lost,
   *     which keeps schedules apart that share a limit without knowing of each other
   */
  public RequestSchedule(double ratePerS, double firstMs, boolean saving) {
    this.intervalMs = MS_PER_SECOND / ratePerS;
    this.nextMs = firstMs;
    this.saving = saving;
  }

  /**
   * Changes the rate. As many requests as before are ahead of the next one, at the new rate.
   *
   * @param ratePerS requests per second, more than 0
   * @param now current time, in ms
   */
  public void setRate(double ratePerS, long now) {
    double changed = MS_PER_SECOND / ratePerS;
    if (nextMs > now) {
      nextMs = now + (nextMs - now) * changed / intervalMs;
    }
    intervalMs = changed;
  }

  /**
   * Reserves the next free time for a request if it can wait for it.
   *
   * @param maxWaitMs longest time for which the request can wait, in ms
   * @param now current time, in ms
   * @return the permit, or when the caller should return
   */
  public Permit reserve(long maxWaitMs, long now) {
    double atMs = earliestMs(now);
    long delayMs = (long) Math.ceil(Math.max(0, atMs - now));
    if (delayMs > maxWaitMs) {
      return new Permit(false, returnDelayMs(now));
    }
    nextMs = atMs + intervalMs;
    return new Permit(true, delayMs);
  }

  /**
   * Takes a time for a request that cannot wait, such as an order.
   *
   * @param now current time, in ms
   */
  public void charge(long now) {
    nextMs = earliestMs(now) + intervalMs;
  }

  private double earliestMs(long now) {
    if (saving) {
      return Math.max(nextMs, now - intervalMs);
    }
    return nextMs + Math.max(0, Math.ceil((now - nextMs) / intervalMs)) * intervalMs;
  }

  private long returnDelayMs(long now) {
    nextReturnMs = Math.max(nextReturnMs, nextMs) + intervalMs;
    nextReturnMs = Math.min(nextReturnMs, Math.max(nextMs, now + MAX_RETURN_MS));
    return (long) Math.ceil(nextReturnMs - now);
  }
}
