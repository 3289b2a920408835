package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Loads that wait")
class LoadQueuesTests {
  private final LoadQueues queues = new LoadQueues();

  @Test
  @DisplayName("at an endpoint add up over what this VM and its peers tell")
  void backlog() {
    queues.own("e1", Map.of("a", 1_000));
    queues.told("peer", Map.of("e1|b", 500, "e11|c", 6_000), 1_000);

    assertEquals(1_500, queues.backlogMs("e1", 0));
    assertTrue(queues.queued("e1", "b", 0));
    assertFalse(queues.queued("e1", "c", 0));
  }

  @Test
  @DisplayName("of a peer that is not heard are forgotten, so that they keep nothing away")
  void silentPeer() {
    queues.told("peer", Map.of("e1|b", 500), 1_000);

    assertEquals(0, queues.backlogMs("e1", 2_000));
  }

  @Test
  @DisplayName("at endpoints that are gone are not told for ever")
  void goneEndpoint() {
    queues.own("e1", Map.of("a", 1_000));
    queues.own("e2", Map.of("b", 1_000));
    queues.retain("e2"::equals);

    assertEquals(Map.of("e2|b", 1_000), queues.own());
  }

  @Test
  @DisplayName("are told to peers under names that they understand")
  void toldOn() {
    queues.own("e1", Map.of("a", 1_000));
    LoadQueues other = new LoadQueues();
    other.told("this", queues.own(), 1_000);

    assertTrue(other.queued("e1", "a", 0));
    queues.own("e1", Map.of());
    assertTrue(queues.own().isEmpty());
  }
}
