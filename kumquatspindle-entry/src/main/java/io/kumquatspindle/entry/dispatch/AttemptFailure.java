package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.entry.request.RequestError;

/**
 * An attempt that ended without a response for the caller.
 *
 * @param error sent to the caller if no further attempt is made
 * @param cause why the attempt failed
 */
record AttemptFailure(RequestError error, Cause cause) {

  enum Cause {
    /** No byte was sent, so the endpoint did not execute the request. */
    NOT_SENT,
    /**
     * The endpoint reported that it has not loaded the artifact and did not execute the request.
     */
    NOT_LOADED,
    /** The endpoint reported that it rejected the request and did not execute it. */
    REJECTED,
    /** The endpoint may have executed the request. */
    UNKNOWN,
    /** The attempt was aborted before a byte was sent. */
    ABORTED_NOT_SENT,
    /** The attempt was aborted; the endpoint may have executed the request. */
    ABORTED
  }

  boolean certainlyNotRun() {
    return cause != Cause.UNKNOWN && cause != Cause.ABORTED;
  }

  boolean isAborted() {
    return cause == Cause.ABORTED || cause == Cause.ABORTED_NOT_SENT;
  }
}
