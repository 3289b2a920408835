package io.kumquatspindle.bench.check;

/**
 * Execution of a call, as recorded by an endpoint.
 *
 * @param endpoint the name of the endpoint
 * @param callId the id of the call
 * @param attemptId the {@code x-request-id} that the entry process sent
 */
public record Execution(String endpoint, String callId, String attemptId) {

  /**
   * Returns whether this execution is an attempt of the given request.
   *
   * @param requestId the id that the entry process assigned to the request
   * @return {@code true} if it is an attempt of this request
   */
  boolean isAttemptOf(String requestId) {
    return !requestId.isEmpty() && attemptId.startsWith(requestId + "-");
  }
}
