package io.kumquatspindle.control.peer;

import io.kumquatspindle.api.message.Message;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * A question to a peer that waits for its connection or its answer.
 *
 * @param message the message
 * @param timeout how long to wait for the connection and the answer
 * @param requestedAtMs when the question was asked, on the monotonic clock
 * @param onReply takes the answer
 * @param onFailure takes the reason why there is none
 */
record PendingPeerRequest(
    Message message,
    Duration timeout,
    long requestedAtMs,
    Consumer<Message> onReply,
    Consumer<String> onFailure) {

  /** Returns the time that is left, not negative. */
  Duration remaining(long nowMs) {
    long left = requestedAtMs + timeout.toMillis() - nowMs;
    return Duration.ofMillis(Math.max(0, left));
  }
}
