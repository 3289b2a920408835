package io.kumquatspindle.entry.dispatch;

/**
 * Identifying headers of one attempt.
 *
 * @param attemptId sent as {@code x-request-id}; the endpoint must echo it
 * @param traceparent sent as {@code traceparent}, to continue the trace at the endpoint
 * @param sendTracker records whether a byte may have been sent
 */
record AttemptHeaders(String attemptId, String traceparent, SendTracker sendTracker) {}
