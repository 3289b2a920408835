package io.kumquatspindle.control.peer;

import io.kumquatspindle.api.message.Message;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * A request to a peer that waits for the connection or the reply.
 *
 * @param message the message
 * @param timeout how long to wait for the connection and the reply
 * @param requestedAtMs when the request was made, on the monotonic clock
 * @param onReply receives the reply
 * @param onFailure receives the reason why there is no reply
 */
record PendingPeerRequest(
    Message message,
    Duration timeout,
    long requestedAtMs,
    Consumer<Message> onReply,
    Consumer<String> onFailure) {

  /** Returns the time until the timeout, or zero if it has passed. */
  Duration remaining(long nowMs) {
    long left = requestedAtMs + timeout.toMillis() - nowMs;
    return Duration.ofMillis(Math.max(0, left));
  }
}
