package io.kumquatspindle.node.peer;

import java.util.Collection;
import java.util.List;

/** Sends messages to the other VMs. Used on the event loop only. */
public interface PeerTransport {
  /**
   * Returns the peer address of this VM.
   *
   * @return host and port
   */
  String self();

  /**
   * Sends a message to peers without waiting. A missing connection is opened; a message that cannot
   * be sent is dropped.
   *
   * @param addresses addresses of the peers
   * @param message the message
   */
  void send(Collection<String> addresses, NodeMessage message);

  /**
   * Sends a message to one peer, as {@link #send(Collection, NodeMessage)} does.
   *
   * @param address address of the peer
   * @param message the message
   */
  default void send(String address, NodeMessage message) {
    send(List.of(address), message);
  }

  /**
   * Closes the connection to a peer that does not receive this VM's messages; the next message
   * opens a new one.
   *
   * @param address address of the peer
   */
  void reset(String address);
}
