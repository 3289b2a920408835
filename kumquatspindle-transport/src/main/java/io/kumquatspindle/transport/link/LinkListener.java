package io.kumquatspindle.transport.link;

import io.kumquatspindle.api.message.Envelope;

/**
 * Receives the events of connections on an I/O thread and must not block. The events of one
 * connection come in order: opened, any number of received, closed.
 */
public interface LinkListener {

  /**
   * A connection is open.
   *
   * @param link the connection
   */
  void opened(Link link);

  /**
   * A message has arrived that is neither a heartbeat nor a reply.
   *
   * @param link the connection
   * @param envelope the message and its id, for {@link Link#reply}
   */
  void received(Link link, Envelope envelope);

  /**
   * A connection is closed.
   *
   * @param link the connection
   * @param reason why
   */
  void closed(Link link, String reason);
}
