package io.kumquatspindle.engine.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * Gives out the times at which callers that were refused should return, one after the other, so
 * that they come back spread out. A time that no caller will use, as its deadline comes first, is
 * not reserved.
 */
public final class ReturnTimes {
  /** Maximum number of reserved times; beyond it, callers get the end of the last one. */
  private static final int MAX_RESERVED = 1_000;

  /** End of each reserved time by its start, in ms. */
  private final TreeMap<Long, Long> reserved = new TreeMap<>();

  /**
   * Returns the first free time.
   *
   * @param earliestMs earliest time at which the caller can be served, in ms
   * @param lengthMs time that serving it takes, in ms
   * @param deadlineMs time of its deadline, in ms
   * @param now current time, in ms
   * @return delay until the time, in ms
   */
  public long next(long earliestMs, long lengthMs, long deadlineMs, long now) {
    reserved.headMap(now, false).values().removeIf(endMs -> endMs <= now);
    long length = Math.max(1, lengthMs);
    long startMs = Math.max(earliestMs, now);
    if (reserved.size() >= MAX_RESERVED) {
      return Math.max(startMs, reserved.lastEntry().getValue()) - now;
    }
    Map.Entry<Long, Long> before = reserved.floorEntry(startMs);
    if (before != null) {
      startMs = Math.max(startMs, before.getValue());
    }
    for (Map.Entry<Long, Long> next : reserved.tailMap(startMs, true).entrySet()) {
      if (startMs + length <= next.getKey()) {
        break;
      }
      startMs = next.getValue();
    }
    if (startMs < deadlineMs) {
      reserved.put(startMs, startMs + length);
    }
    return startMs - now;
  }
}
