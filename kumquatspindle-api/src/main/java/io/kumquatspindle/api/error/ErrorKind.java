package io.kumquatspindle.api.error;

import static io.kumquatspindle.api.model.Ran.NOT_RUN;
import static io.kumquatspindle.api.model.Ran.RAN;
import static io.kumquatspindle.api.model.Ran.UNKNOWN;

import io.kumquatspindle.api.model.Ran;

/** The closed list of error kinds, each with the answer that a caller gets. */
public enum ErrorKind {
  /** The request carries no key and the route is not open. */
  MISSING_KEY(401, "missing_key", NOT_RUN, false),
  /** The key is not known. */
  UNKNOWN_KEY(401, "unknown_key", NOT_RUN, false),
  /** The key has been withdrawn. */
  KEY_WITHDRAWN(401, "key_withdrawn", NOT_RUN, false),
  /** The key was withdrawn while the answer was being sent. */
  KEY_WITHDRAWN_DURING_ANSWER(401, "key_withdrawn", UNKNOWN, false),
  /** The VM has had no confirmation of its configuration for too long. */
  STALE_CONFIGURATION(503, "stale_configuration", NOT_RUN, true),
  /** The request cannot be parsed. */
  MALFORMED_REQUEST(400, "malformed_request", NOT_RUN, false),
  /** The request's body or query contains the caller's key. */
  KEY_IN_REQUEST(400, "key_in_request", NOT_RUN, false),
  /** The request's body is larger than allowed. */
  BODY_TOO_LARGE(413, "body_too_large", NOT_RUN, false),
  /** No such model or adapter. */
  UNKNOWN_MODEL(404, "unknown_model", NOT_RUN, false),
  /** No such path or service. */
  UNKNOWN_ROUTE(404, "unknown_route", NOT_RUN, false),
  /** The method is not allowed on the path. */
  METHOD_NOT_ALLOWED(405, "method_not_allowed", NOT_RUN, false),
  /** The customer may not use the model or service. */
  FORBIDDEN(403, "forbidden", NOT_RUN, false),
  /** The customer's rate is used up for now. */
  OVER_RATE(429, "over_rate", NOT_RUN, true),
  /** The request needs more tokens than the customer's burst. */
  OVER_BURST(400, "over_burst", NOT_RUN, false),
  /** Too many requests wait. */
  QUEUE_FULL(503, "queue_full", NOT_RUN, true),
  /** The model cannot be ready before the deadline. */
  DEADLINE_TOO_SHORT(503, "deadline_too_short", NOT_RUN, true),
  /** The deadline passed while the request waited. */
  DEADLINE_EXCEEDED(504, "deadline_exceeded", NOT_RUN, true),
  /** The deadline passed after the request was sent to an endpoint. */
  DEADLINE_EXCEEDED_RUNNING(504, "deadline_exceeded", UNKNOWN, false),
  /** No endpoint can take the request. */
  NO_ENDPOINT(503, "no_endpoint", NOT_RUN, true),
  /** The model cannot be loaded now. */
  LOAD_REFUSED(503, "load_refused", NOT_RUN, true),
  /** The endpoint failed and it is not known whether it ran the request. */
  ENDPOINT_FAILED(502, "endpoint_failed", UNKNOWN, false),
  /** The endpoint refused the request without running it. */
  ENDPOINT_REFUSED(503, "endpoint_refused", NOT_RUN, true),
  /** The answer broke off or belongs to another request. */
  ANSWER_INCOMPLETE(502, "answer_incomplete", UNKNOWN, false),
  /** The same idempotency key was used before and the call did not run. */
  DUPLICATE_NOT_RUN(409, "duplicate_request", NOT_RUN, false),
  /** The same idempotency key was used before and the call ran. */
  DUPLICATE_RAN(409, "duplicate_request", RAN, false),
  /** The same idempotency key was used before; whether the call ran is not known. */
  DUPLICATE_UNKNOWN(409, "duplicate_request", UNKNOWN, false),
  /** The same idempotency key was used before with another request. */
  IDEMPOTENCY_KEY_REUSED(422, "idempotency_key_reused", NOT_RUN, false),
  /** Idempotency keys cannot be recorded now. */
  IDEMPOTENCY_UNAVAILABLE(503, "idempotency_unavailable", NOT_RUN, true),
  /** The VM is stopping. */
  SHUTTING_DOWN(503, "shutting_down", NOT_RUN, true),
  /** A fault of the system before the request was sent to an endpoint. */
  INTERNAL(500, "internal", NOT_RUN, false),
  /** A fault of the system after the request was sent to an endpoint. */
  INTERNAL_UNKNOWN(500, "internal", UNKNOWN, false);

  private final int status;
  private final String code;
  private final Ran ran;
  private final boolean retryAfter;

  ErrorKind(int status, String code, Ran ran, boolean retryAfter) {
    this.status = status;
    this.code = code;
    this.ran = ran;
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
   * Returns the stable code in the error body.
   *
   * @return the code
   */
  public String code() {
    return code;
  }

  /**
   * Tells what the answer says about whether the request ran.
   *
   * @return not run, ran or unknown
   */
  public Ran ran() {
    return ran;
  }

  /**
   * Tells whether the answer carries {@code Retry-After}.
   *
   * @return whether it does
   */
  public boolean hasRetryAfter() {
    return retryAfter;
  }
}
