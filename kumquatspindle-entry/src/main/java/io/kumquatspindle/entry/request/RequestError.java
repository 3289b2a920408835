package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.model.Ran;

/**
 * Why a request gets no answer from an endpoint.
 *
 * @param kind the kind of error
 * @param message explanation for the caller; contains no key
 * @param retryAfterMs when another try may succeed, in milliseconds; used if the kind has it
 */
public record RequestError(ErrorKind kind, String message, long retryAfterMs) {
  private static final long DEFAULT_RETRY_AFTER_MS = 1_000;

  /**
   * Returns a refusal with the default retry time.
   *
   * @param kind the kind of error
   * @param message explanation for the caller
   * @return the refusal
   */
  public static RequestError of(ErrorKind kind, String message) {
    return new RequestError(kind, message, DEFAULT_RETRY_AFTER_MS);
  }

  /**
   * Returns the truthful form for a request that an earlier attempt may have run: a kind that says
   * "not run" becomes one that says "unknown".
   *
   * @return this refusal or one with another kind
   */
  public RequestError withPossibleExecution() {
    if (kind.ran() != Ran.NOT_RUN) {
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
