package io.kumquatspindle.transport.platform;

/** What is known about one HTTP call. */
sealed interface Exchange {

  /** The whole answer has arrived. */
  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  record Answered(int status, byte[] body) implements Exchange {}

  /** No byte of the request was sent. */
  record NotSent(String reason) implements Exchange {}

  /** The request may have arrived, but there is no whole answer. */
  record Broken(String reason) implements Exchange {}
}
