package io.kumquatspindle.entry.dispatch;

/** Why an attempt was ended from outside. */
enum AbortReason {
  /** The caller closed its connection. */
  CALLER_DISCONNECTED,
  /** The key was withdrawn. */
  KEY_WITHDRAWN,
  /** The first byte was not there by the deadline. */
  DEADLINE,
  /** The endpoint sent nothing for too long within a stream. */
  STALLED,
  /** The program stops and the time for running requests is over. */
  SHUTDOWN
}
