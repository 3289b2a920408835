package io.kumquatspindle.standins.http;

import io.netty.channel.Channel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An accepted connection and the listener that accepted it. */
final class Connection {
  private final Channel channel;
  private final Listener listener;
  private final Set<Runnable> closeListeners = ConcurrentHashMap.newKeySet();

  Connection(Channel channel, Listener listener) {
    this.channel = channel;
    this.listener = listener;
    channel.closeFuture().addListener(f -> closeListeners.forEach(this::fire));
  }

  Listener listener() {
    return listener;
  }

  boolean isOpen() {
    return channel.isActive();
  }

  /**
   * Calls a listener once when the connection closes, immediately if it is closed already. Returns
   * an action that removes the listener.
   */
  Runnable onClosed(Runnable r) {
    closeListeners.add(r);
    if (channel.closeFuture().isDone()) {
      fire(r);
    }
    return () -> closeListeners.remove(r);
  }

  /** Closes the connection after the data sent so far. */
  void close() {
    channel.eventLoop().execute(channel::close);
  }

  private void fire(Runnable r) {
    if (closeListeners.remove(r)) {
      r.run();
    }
  }
}
