package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Known endpoints")
class EndpointTableTests {
  private final EndpointTable table = new EndpointTable();

  @Test
  @DisplayName("keep what lapsed during an outage until its entry had time to come back")
  void lapsed() {
    table.put(Entries.engine("e1", "west"));
    table.storeBack(1_000);
    table.remove("e1", 1_100);

    assertTrue(table.find("e1").isPresent());
    assertEquals(List.of(), table.expire(2_900));
    assertEquals(List.of("e1"), table.expire(3_000));
    assertTrue(table.find("e1").isEmpty());
  }

  @Test
  @DisplayName("drop at once what is removed while the store is well")
  void removed() {
    table.put(Entries.engine("e1", "west"));
    table.remove("e1", 50_000);

    assertTrue(table.find("e1").isEmpty());
  }

  @Test
  @DisplayName("drop what a complete list no longer names")
  void retain() {
    table.put(Entries.engine("e1", "west"));
    table.put(Entries.engine("e2", "west"));
    table.retain(Set.of("e2"), 50_000);

    assertTrue(table.find("e1").isEmpty());
    assertTrue(table.find("e2").isPresent());
  }

  @Test
  @DisplayName("forget all about an endpoint that started again under its identity")
  void restarted() {
    table.put(Entries.engine("e1", "west", 1, Set.of(), "a"));
    table.find("e1").orElseThrow().news("b", "", true, 0);
    table.put(Entries.engine("e1", "west", 2, Set.of()));

    assertFalse(table.find("e1").orElseThrow().holds("b", "", 1));
    assertFalse(table.find("e1").orElseThrow().holds("a", "", 1));
  }

  @Test
  @DisplayName("believe news of a model before an entry that is older")
  void news() {
    table.put(Entries.engine("e1", "west", "a"));
    Endpoint e = table.find("e1").orElseThrow();
    e.news("a", "", false, 0);
    table.put(Entries.engine("e1", "west", "a"));

    assertFalse(e.holds("a", "", 100));
    assertTrue(e.holds("a", "", Endpoint.NEWS_VALID_MS));
  }
}
