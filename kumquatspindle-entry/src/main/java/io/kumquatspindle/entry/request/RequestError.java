package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.model.ExecutionStatus;

/**
 * An error that a request ends with, as reported to its caller.
 *
 * @param kind the kind of error
 * @param message explanation for the caller; must not contain a key
 * @param retryAfterMs time after which a retry may succeed, in milliseconds; ignored unless the
 *     kind has a retry time
 */
public record RequestError(ErrorKind kind, String message, long retryAfterMs) {
  private static final long DEFAULT_RETRY_AFTER_MS = 1_000;

  /**
   * Returns an error with the default retry time.
   *
   * @param kind the kind of error
   * @param message explanation for the caller
   * @return the error
   */
  public static RequestError of(ErrorKind kind, String message) {
    return new RequestError(kind, message, DEFAULT_RETRY_AFTER_MS);
  }

  /**
   * Returns the error to report for a request that an earlier attempt may have executed: a kind
   * that says "not run" is replaced by one that says "unknown".
   *
   * @return this error, or one with another kind
   */
  public RequestError withPossibleExecution() {
    if (kind.executionStatus() != ExecutionStatus.NOT_RUN) {
      return this;
    }
    ErrorKind unknown =
        switch (kind) {
          case DEADLINE_EXCEEDED, DEADLINE_TOO_SHORT -> ErrorKind.DEADLINE_EXCEEDED_RUNNING;
          case KEY_WITHDRAWN, UNKNOWN_KEY -> ErrorKind.KEY_WITHDRAWN_DURING_ANSWER;
          case INTERNAL -> ErrorKind.INTERNAL_UNKNOWN;
          default -> ErrorKind.ENDPOINT_FAILED;
        };
    return new RequestError(unknown, message, retryAfterMs);
  }
}
