package io.kumquatspindle.api.error;

import static io.kumquatspindle.api.model.ExecutionStatus.NOT_RUN;
import static io.kumquatspindle.api.model.ExecutionStatus.RAN;
import static io.kumquatspindle.api.model.ExecutionStatus.UNKNOWN;

import io.kumquatspindle.api.model.ExecutionStatus;

/** The complete list of errors that callers can receive, with the HTTP response for each. */
public enum ErrorKind {
  /** The request has no key and the route requires one. */
  MISSING_KEY(401, "missing_key", NOT_RUN, false),
  /** The key does not exist. */
  UNKNOWN_KEY(401, "unknown_key", NOT_RUN, false),
  /** The key has been revoked. */
  KEY_WITHDRAWN(401, "key_withdrawn", NOT_RUN, false),
  /** The key was revoked while the response was being sent. */
  KEY_WITHDRAWN_DURING_ANSWER(401, "key_withdrawn", UNKNOWN, false),
  /** The VM has not been able to confirm that its configuration is current for too long. */
  STALE_CONFIGURATION(503, "stale_configuration", NOT_RUN, true),
  /** The request cannot be parsed. */
  MALFORMED_REQUEST(400, "malformed_request", NOT_RUN, false),
  /** The request's body or query contains the caller's key. */
  KEY_IN_REQUEST(400, "key_in_request", NOT_RUN, false),
  /** The request body exceeds the size limit. */
  BODY_TOO_LARGE(413, "body_too_large", NOT_RUN, false),
  /** The model or adapter does not exist. */
  UNKNOWN_MODEL(404, "unknown_model", NOT_RUN, false),
  /** The path or service does not exist. */
  UNKNOWN_ROUTE(404, "unknown_route", NOT_RUN, false),
  /** The HTTP method is not allowed for the path. */
  METHOD_NOT_ALLOWED(405, "method_not_allowed", NOT_RUN, false),
  /** The customer may not use the model or service. */
  FORBIDDEN(403, "forbidden", NOT_RUN, false),
  /** The customer has exceeded its rate limit. */
  OVER_RATE(429, "over_rate", NOT_RUN, true),
  /** The request needs more tokens than the customer's burst limit. */
  OVER_BURST(400, "over_burst", NOT_RUN, false),
  /** The request queue is full. */
  QUEUE_FULL(503, "queue_full", NOT_RUN, true),
  /** The model cannot be ready before the deadline. */
  DEADLINE_TOO_SHORT(503, "deadline_too_short", NOT_RUN, true),
  /** The deadline passed while the request was queued. */
  DEADLINE_EXCEEDED(504, "deadline_exceeded", NOT_RUN, true),
  /** The deadline passed after the request was sent to an endpoint. */
  DEADLINE_EXCEEDED_RUNNING(504, "deadline_exceeded", UNKNOWN, false),
  /** No endpoint is available for the request. */
  NO_ENDPOINT(503, "no_endpoint", NOT_RUN, true),
  /** The model cannot be loaded at the moment. */
  LOAD_REFUSED(503, "load_refused", NOT_RUN, true),
  /** The endpoints that could serve the request accept no more requests at the moment. */
  ENDPOINT_LIMITED(503, "endpoint_limited", NOT_RUN, true),
  /** A part of the prompt crashes endpoints. */
  PROMPT_QUARANTINED(503, "prompt_quarantined", NOT_RUN, true),
  /** The endpoint failed, and whether it executed the request is unknown. */
  ENDPOINT_FAILED(502, "endpoint_failed", UNKNOWN, false),
  /** The endpoint rejected the request without executing it. */
  ENDPOINT_REFUSED(503, "endpoint_refused", NOT_RUN, true),
  /** The response was truncated or belongs to another request. */
  ANSWER_INCOMPLETE(502, "answer_incomplete", UNKNOWN, false),
  /** The idempotency key was used before, and that call was not executed. */
  DUPLICATE_NOT_RUN(409, "duplicate_request", NOT_RUN, false),
  /** The idempotency key was used before, and that call was executed. */
  DUPLICATE_RAN(409, "duplicate_request", RAN, false),
  /** The idempotency key was used before, and whether that call was executed is unknown. */
  DUPLICATE_UNKNOWN(409, "duplicate_request", UNKNOWN, false),
  /** The idempotency key was used before with a different request. */
  IDEMPOTENCY_KEY_REUSED(422, "idempotency_key_reused", NOT_RUN, false),
  /** Idempotency keys cannot be recorded at the moment. */
  IDEMPOTENCY_UNAVAILABLE(503, "idempotency_unavailable", NOT_RUN, true),
  /** The VM is shutting down. */
  SHUTTING_DOWN(503, "shutting_down", NOT_RUN, true),
  /** Internal error before the request was sent to an endpoint. */
  INTERNAL(500, "internal", NOT_RUN, false),
  /** Internal error after the request was sent to an endpoint. */
  INTERNAL_UNKNOWN(500, "internal", UNKNOWN, false);

  private final int status;
  private final String code;
  private final ExecutionStatus executionStatus;
  private final boolean retryAfter;

  ErrorKind(int status, String code, ExecutionStatus executionStatus, boolean retryAfter) {
    this.status = status;
    this.code = code;
    this.executionStatus = executionStatus;
    this.retryAfter = retryAfter;
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns the stable code used in the error response body.
   *
   * @return the code
   */
  public String code() {
    return code;
  }

  /**
   * Returns whether the request was executed, as stated in the response.
   *
   * @return the execution status
   */
  public ExecutionStatus executionStatus() {
    return executionStatus;
  }

  /**
   * Returns whether the response has a {@code Retry-After} header.
   *
   * @return true if it has
   */
  public boolean hasRetryAfter() {
    return retryAfter;
  }
}
