package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.Faults;

/**
 * Faults of a plain service.
 *
 * @param refuse whether calls are refused with 503 as not run
 * @param hang whether calls are neither executed nor answered
 * @param delayMs additional time before a call is executed, in milliseconds
 * @param breakAfterExecuting whether the connection breaks after the call was executed
 * @param answerLateMs time from execution to the answer, in milliseconds
 * @param leaving whether the service reports that it is about to stop
 * @param remaining number of calls affected, 0 for no limit
 * @param downMs how long connections are refused, in milliseconds
 */
public record ServiceFaults(
    boolean refuse,
    boolean hang,
    long delayMs,
    boolean breakAfterExecuting,
    long answerLateMs,
    boolean leaving,
    int remaining,
    long downMs)
    implements Faults {

  /** All faults off. */
  public static final ServiceFaults NONE =
      new ServiceFaults(false, false, 0, false, 0, false, 0, 0);

  /** Checks the values. */
  public ServiceFaults {
    if (delayMs < 0 || answerLateMs < 0 || remaining < 0 || downMs < 0) {
      throw new IllegalArgumentException("faults must not have negative numbers");
    }
  }

  boolean affectsCalls() {
    return refuse || hang || delayMs > 0 || breakAfterExecuting || answerLateMs > 0;
  }
}
