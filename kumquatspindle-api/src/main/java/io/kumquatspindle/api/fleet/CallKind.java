package io.kumquatspindle.api.fleet;

/** What may be repeated. */
public enum CallKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run at most once. */
  AT_MOST_ONCE,
  /** A stream of events; runs at most once unless its route allows it to be resumed. */
  STREAM
}
