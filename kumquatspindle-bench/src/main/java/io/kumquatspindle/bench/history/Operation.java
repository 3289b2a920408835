package io.kumquatspindle.bench.history;

/**
 * A completed operation of a concurrent run.
 *
 * @param actor who invoked the operation or what was observed: an operator, a caller, a VM
 * @param action the kind of operation
 * @param subject what the operation acted on
 * @param outcome the result
 * @param invokedNanos the invocation time, as {@code System.nanoTime()}
 * @param returnedNanos the time at which the outcome was known, as {@code System.nanoTime()}
 */
public record Operation(
    String actor,
    String action,
    String subject,
    String outcome,
    long invokedNanos,
    long returnedNanos) {

  /**
   * Returns whether this operation ended before another one began.
   *
   * @param other the other operation
   * @return {@code true} if the operations were not concurrent and this one came first
   */
  public boolean precedes(Operation other) {
    return returnedNanos - other.invokedNanos < 0;
  }

  /**
   * Returns whether this operation began after a point in time.
   *
   * @param nanos the point in time, as {@code System.nanoTime()}
   * @return {@code true} if it began later
   */
  public boolean beganAfter(long nanos) {
    return invokedNanos - nanos > 0;
  }
}
