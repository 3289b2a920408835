package io.kumquatspindle.node.peer;

import java.util.Optional;
import java.util.Set;

/** State of another VM, as {@link Peers} knows it. */
final class Peer {
  final long addedMs;
  long lastDigestMs = Long.MIN_VALUE / 2;
  long lastKnownCheckMs = Long.MIN_VALUE / 2;
  long lastKnownSentMs = Long.MIN_VALUE / 2;
  Set<String> lastKnown = Set.of();
  Optional<Peers.Domain> domain = Optional.empty();
  boolean sharesReads;

  Peer(long addedMs) {
    this.addedMs = addedMs;
  }

  long lastActivityMs() {
    return Math.max(addedMs, lastDigestMs);
  }
}
