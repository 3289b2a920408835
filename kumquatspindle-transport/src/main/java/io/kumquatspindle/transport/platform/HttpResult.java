package io.kumquatspindle.transport.platform;

/** The outcome of one HTTP call, and whether the request can have reached the server. */
sealed interface HttpResult {

  /** The complete response has been received. */
  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  record Completed(int status, byte[] body) implements HttpResult {}

  /** The call failed before any byte of the request was sent. */
  record NotSent(String reason) implements HttpResult {}

  /** The request may have reached the server, but no complete response was received. */
  record Incomplete(String reason) implements HttpResult {}
}
