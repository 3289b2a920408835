package io.kumquatspindle.api.message;

/** Messages that any connection may carry. */
public sealed interface LinkMessage extends Message {

  /** Shows that the sender is alive. */
  record Heartbeat() implements LinkMessage {}
}
