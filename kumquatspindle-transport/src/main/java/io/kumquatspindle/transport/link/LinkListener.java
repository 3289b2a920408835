package io.kumquatspindle.transport.link;

import io.kumquatspindle.api.message.Envelope;

/**
 * Receives connection events. Methods are called on an I/O thread and must not block. For each
 * connection, {@code opened} is called first, then {@code received} any number of times, then
 * {@code closed}.
 */
public interface LinkListener {

  /**
   * Called when a connection has opened.
   *
   * @param link the connection
   */
  void opened(Link link);

  /**
   * Called when a message that is neither a heartbeat nor a reply has arrived.
   *
   * @param link the connection
   * @param envelope the message and its id, which {@link Link#reply} needs
   */
  void received(Link link, Envelope envelope);

  /**
   * Called when a connection has closed.
   *
   * @param link the connection
   * @param reason the reason
   */
  void closed(Link link, String reason);
}
