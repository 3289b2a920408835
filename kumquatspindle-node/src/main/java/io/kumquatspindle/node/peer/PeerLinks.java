package io.kumquatspindle.node.peer;

import java.util.Collection;
import java.util.List;

/** Ways to the other VMs. Used on the event loop only. */
public interface PeerLinks {
  /**
   * Returns the address of this VM for peers.
   *
   * @return host and port
   */
  String self();

  /**
   * Sends a message over each connection that is open, and opens the others; a message that cannot
   * be sent now is dropped.
   *
   * @param addresses addresses of the peers
   * @param message the message
   */
  void send(Collection<String> addresses, PeerMessage message);

  /**
   * Sends a message to one peer.
   *
   * @param address address of the peer
   * @param message the message
   */
  default void send(String address, PeerMessage message) {
    send(List.of(address), message);
  }

  /**
   * Closes the connection to a peer that does not hear this VM.
   *
   * @param address address of the peer
   */
  void reset(String address);
}
