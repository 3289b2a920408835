package io.kumquatspindle.engine.fleet;

/**
 * How urgent a request is: the time by which it should proceed. That is its objective, or its
 * deadline once the objective has passed, so that late requests yield to those that can still make
 * their objectives and still become the most urgent before their deadlines. A lower priority counts
 * as additional time, which waiting uses up.
 *
 * @param goalMs time of the objective, in ms
 * @param deadlineMs time of the deadline, in ms
 * @param priority priority; 0 is the highest
 * @param arrivedMs time at which the request arrived, in ms
 */
public record RequestUrgency(long goalMs, long deadlineMs, int priority, long arrivedMs) {
  /** Level of the least urgent requests; 0 is the level of the most urgent ones. */
  public static final int LEAST_URGENT = 9;

  /**
   * Time that each step of priority counts as, in ms; about the time in which a caller notices a
   * delay, so that it decides between objectives of the same order and no others.
   */
  private static final long PRIORITY_STEP_MS = 200;

  /** Time left of the requests of level 0, in ms; each further level has twice as much. */
  private static final long FIRST_LEVEL_MS = 125;

  /** Bound of the times, so that adding to them cannot overflow. */
  private static final long MAX_TIME_MS = Long.MAX_VALUE / 4;

  /**
   * Returns the time by which the request should proceed; the earlier, the more urgent it is.
   *
   * @param now current time, in ms
   * @return time in ms
   */
  public long dueMs(long now) {
    long next = now <= goalMs ? goalMs : Math.max(goalMs, deadlineMs);
    long yieldMs = Math.max(0, priority * PRIORITY_STEP_MS - (now - arrivedMs));
    return Math.min(next, MAX_TIME_MS) + yieldMs;
  }

  /**
   * Returns the urgency as a level from 0, the most urgent, to {@link #LEAST_URGENT}.
   *
   * @param now current time, in ms
   * @return the level
   */
  public int level(long now) {
    long leftMs = dueMs(now) - now;
    int level = 0;
    for (long ms = FIRST_LEVEL_MS; level < LEAST_URGENT && leftMs > ms; ms *= 2) {
      level++;
    }
    return level;
  }
}
