package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.entry.request.RequestError;

/**
 * An attempt that brought no answer for the caller.
 *
 * @param error what the caller is told if no further attempt is made
 * @param cause what went wrong
 */
record AttemptFailure(RequestError error, Cause cause) {

  enum Cause {
    /** No byte was sent: the endpoint certainly did not run the request. */
    NOT_SENT,
    /** The endpoint reports that it has not loaded the artifact and did not run the request. */
    NOT_LOADED,
    /** The endpoint reports that it takes no work and did not run the request. */
    REJECTED,
    /** The endpoint may have run the request. */
    UNKNOWN,
    /** The attempt was ended from outside before a byte was sent. */
    ABORTED_NOT_SENT,
    /** The attempt was ended from outside; the endpoint may have run the request. */
    ABORTED
  }

  boolean certainlyNotRun() {
    return cause != Cause.UNKNOWN && cause != Cause.ABORTED;
  }

  boolean isAborted() {
    return cause == Cause.ABORTED || cause == Cause.ABORTED_NOT_SENT;
  }
}
