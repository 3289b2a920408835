package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Queued loads")
class LoadQueuesTests {
  private final LoadQueues queues = new LoadQueues();

  @Test
  @DisplayName("at an endpoint are summed over the reports of this VM and its peers")
  void backlog() {
    queues.updateOwnQueue("e1", Map.of("a", 1_000));
    queues.updateFromPeer("peer", Map.of("e1|b", 500, "e11|c", 6_000), 1_000);

    assertEquals(1_500, queues.backlogMs("e1", 0));
    assertTrue(queues.queued("e1", "b", 0));
    assertFalse(queues.queued("e1", "c", 0));
  }

  @Test
  @DisplayName("of a peer expire when it stops reporting, so that they do not affect placement")
  void silentPeer() {
    queues.updateFromPeer("peer", Map.of("e1|b", 500), 1_000);

    assertEquals(0, queues.backlogMs("e1", 2_000));
  }

  @Test
  @DisplayName("at removed endpoints are no longer reported")
  void goneEndpoint() {
    queues.updateOwnQueue("e1", Map.of("a", 1_000));
    queues.updateOwnQueue("e2", Map.of("b", 1_000));
    queues.retain("e2"::equals);

    assertEquals(Map.of("e2|b", 1_000), queues.ownQueues());
  }

  @Test
  @DisplayName("are reported to peers under keys that they can parse")
  void peerRoundTrip() {
    queues.updateOwnQueue("e1", Map.of("a", 1_000));
    LoadQueues other = new LoadQueues();
    other.updateFromPeer("this", queues.ownQueues(), 1_000);

    assertTrue(other.queued("e1", "a", 0));
    queues.updateOwnQueue("e1", Map.of());
    assertTrue(queues.ownQueues().isEmpty());
  }
}
