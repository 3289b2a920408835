package io.kumquatspindle.node.peer;

import java.io.IOException;
import java.io.UncheckedIOException;

/** Copies messages as the transport between VMs does. */
public final class WireCopy {
  private WireCopy() {}

  /**
   * Encodes and decodes a message, whose collections the sender may change afterwards.
   *
   * @param message the message
   * @return the message as it arrives
   */
  public static NodeMessage of(NodeMessage message) {
    try {
      return PeerCodec.decode(PeerCodec.encode(message));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
