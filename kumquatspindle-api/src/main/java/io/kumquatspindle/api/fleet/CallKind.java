package io.kumquatspindle.api.fleet;

/** The execution semantics of a call, which determine whether it may be retried. */
public enum CallKind {
  /** May be executed more than once. */
  IDEMPOTENT,
  /** Must be executed at most once. */
  AT_MOST_ONCE,
  /** A stream of events; executed at most once unless its route allows streams to be resumed. */
  STREAM
}
