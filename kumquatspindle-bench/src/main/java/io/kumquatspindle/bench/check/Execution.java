package io.kumquatspindle.bench.check;

/**
 * One execution of a call, as an endpoint recorded it.
 *
 * @param endpoint the endpoint
 * @param callId names the work
 * @param attemptId the {@code x-request-id} that the entry program sent
 */
public record Execution(String endpoint, String callId, String attemptId) {

  /**
   * Tells whether the execution belongs to a request.
   *
   * @param requestId id that the entry program gave the request
   * @return whether it is an attempt of this request
   */
  boolean isAttemptOf(String requestId) {
    return !requestId.isEmpty() && attemptId.startsWith(requestId + "-");
  }
}
