package io.kumquatspindle.api.message;

/** Messages that may be sent on any connection. */
public sealed interface LinkMessage extends Message {

  /** Sent on an idle connection to show that the sender is alive. */
  record Heartbeat() implements LinkMessage {}
}
