package io.kumquatspindle.entry.dispatch;

/**
 * Identification of one attempt.
 *
 * @param attemptId sent as {@code x-request-id} and expected back
 * @param traceparent continues the trace at the endpoint
 * @param sendTracker notes whether a byte may have been sent
 */
record AttemptHeaders(String attemptId, String traceparent, SendTracker sendTracker) {}
