package io.kumquatspindle.entry.http;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops a listener while many accepted connections wait for their event loop. The listener has a
 * thread of its own, and a guard counts a connection only when it reaches the event loop.
 */
final class AcceptLimit {
  private static final int MAX_WAITING = 16;

  private final Channel listener;
  private final AtomicInteger waiting = new AtomicInteger();

  AcceptLimit(Channel listener) {
    this.listener = listener;
  }

  /** Records a connection that has been accepted. Called on the thread of the listener. */
  void onAccepted() {
    if (waiting.incrementAndGet() >= MAX_WAITING) {
      listener.config().setAutoRead(false);
      // The event loop may have taken all of them in the meantime.
      resumeIfAllowed();
    }
  }

  /** Records that the event loop has taken a connection. */
  void onRegistered() {
    waiting.decrementAndGet();
    resumeIfAllowed();
  }

  private void resumeIfAllowed() {
    if (waiting.get() < MAX_WAITING && !listener.config().isAutoRead()) {
      listener.config().setAutoRead(true);
    }
  }
}
