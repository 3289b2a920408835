package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.Faults;

/**
 * Injected faults of a plain service.
 *
 * @param refuse whether calls are rejected with status 503 as not run
 * @param hang whether calls are neither executed nor get a response
 * @param delayMs additional time before a call is executed, in milliseconds
 * @param breakAfterExecuting whether the connection is closed after the call was executed, without
 *     a response
 * @param answerLateMs delay between the execution and the response, in milliseconds
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

  /** No faults. */
  public static final ServiceFaults NONE =
      new ServiceFaults(false, false, 0, false, 0, false, 0, 0);

  /** Validates the values. */
  public ServiceFaults {
    if (delayMs < 0 || answerLateMs < 0 || remaining < 0 || downMs < 0) {
      throw new IllegalArgumentException("faults must not have negative numbers");
    }
  }

  boolean affectsCalls() {
    return refuse || hang || delayMs > 0 || breakAfterExecuting || answerLateMs > 0;
  }
}
