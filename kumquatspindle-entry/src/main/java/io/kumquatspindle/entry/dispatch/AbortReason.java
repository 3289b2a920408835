package io.kumquatspindle.entry.dispatch;

/** Why an attempt was aborted. */
enum AbortReason {
  /** The caller closed its connection. */
  CALLER_DISCONNECTED,
  /** The key was withdrawn. */
  KEY_WITHDRAWN,
  /** The first byte of the response did not arrive by the deadline. */
  DEADLINE,
  /** The endpoint sent no data for too long within a stream. */
  STALLED,
  /** The program is shutting down, and the drain limit for running requests has passed. */
  SHUTDOWN
}
