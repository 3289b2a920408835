package io.kumquatspindle.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Other VMs")
class PeersTests {
  private static final String OTHER = "10.0.0.2:7600";
  private static final String THIRD = "10.0.0.3:7600";

  private final AtomicLong now = new AtomicLong(1_000);
  private final NodeContext node = TestNodes.of(now, "west");
  private final Peers peers = new Peers(node, new PeerNetwork(node, m -> {}));

  @Test
  @DisplayName("keep their share of a rate however long they are silent, while a group names them")
  void cutOff() {
    peers.members("west", Set.of(TestNodes.SELF, OTHER));
    now.addAndGet(12_000);

    assertEquals(List.of(OTHER), peers.addresses());
    assertEquals(0.5, peers.audibleShare());
  }

  private static PeerMessage.Digest digest(String address, int heard) {
    return new PeerMessage.Digest(
        1, address, "west", 1, false, Map.of(), Map.of(), Map.of(), Map.of(), 1, Set.of(), heard);
  }

  @Test
  @DisplayName("that hear fewer VMs than this one are told of the others that are heard")
  void passedOn() {
    peers.members("west", Set.of(TestNodes.SELF, OTHER, THIRD, "10.0.0.4:7600"));
    peers.heard(digest(OTHER, 4));
    peers.heard(digest(THIRD, 4));

    assertEquals(Set.of(THIRD), peers.missing(digest(OTHER, 2)));
    assertEquals(Set.of(), peers.missing(digest(OTHER, 3)));
  }

  @Test
  @DisplayName("have their share of a rate from the moment a peer tells of them")
  void told() {
    peers.told(new PeerMessage.Known(Set.of(TestNodes.SELF, OTHER)));

    assertEquals(List.of(OTHER), peers.addresses());
    assertEquals(0.5, peers.audibleShare());
  }

  @Test
  @DisplayName("of which a peer told are forgotten if they are never heard")
  void toldOnly() {
    peers.told(new PeerMessage.Known(Set.of(OTHER)));
    now.addAndGet(12_000);

    assertEquals(List.of(), peers.addresses());
  }

  @Test
  @DisplayName("are forgotten when no group names them and they have not been heard")
  void gone() {
    peers.members("west", Set.of(TestNodes.SELF, OTHER));
    peers.members("west", Set.of(TestNodes.SELF));
    now.addAndGet(12_000);

    assertEquals(List.of(), peers.addresses());
    assertEquals(1, peers.audibleShare());
  }
}
