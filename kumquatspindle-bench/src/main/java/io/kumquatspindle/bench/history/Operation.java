package io.kumquatspindle.bench.history;

/**
 * One operation of a concurrent run.
 *
 * @param actor who carried it out, or what was observed: an operator, a caller, a VM
 * @param action what was done
 * @param subject what it was done to
 * @param outcome what came of it
 * @param invokedNanos when it began, as {@code System.nanoTime()}
 * @param returnedNanos when its outcome was known, as {@code System.nanoTime()}
 */
public record Operation(
    String actor,
    String action,
    String subject,
    String outcome,
    long invokedNanos,
    long returnedNanos) {

  /**
   * Tells whether this operation ended before another one began.
   *
   * @param other the other operation
   * @return whether the two were not concurrent and this one was first
   */
  public boolean precedes(Operation other) {
    return returnedNanos - other.invokedNanos < 0;
  }

  /**
   * Tells whether this operation began later than a point in time.
   *
   * @param nanos the point in time, as {@code System.nanoTime()}
   * @return whether it began after it
   */
  public boolean beganAfter(long nanos) {
    return invokedNanos - nanos > 0;
  }
}
