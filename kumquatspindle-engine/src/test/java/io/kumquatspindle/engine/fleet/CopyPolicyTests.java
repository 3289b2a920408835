package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Copies of models")
class CopyPolicyTests {
  private static final long NOW = 60_000;

  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final LoadBoard loads = new LoadBoard();
  private final CopyPolicy copies = new CopyPolicy(endpoints, demand, loads);

  @BeforeEach
  void endpoints() {
    endpoints.put(Entries.engine("e1", "west", "hot", "a"));
    endpoints.put(Entries.engine("e2", "west", "hot", "b"));
    endpoints.put(Entries.engine("e3", "east", "hot"));
    endpoints.put(Entries.engine("e4", "east", "hot"));
    demand.add("a", 1, 0);
  }

  private Endpoint at(String id) {
    return endpoints.find(id).orElseThrow();
  }

  private void perSecond(String model, double rate) {
    demand.add(model, rate * ModelDemand.MEMORY_MS / 1_000, NOW);
  }

  @Test
  @DisplayName(
      "of which more are held than the demand needs are spare, so that rare models find room")
  void spare() {
    perSecond("hot", 10);

    assertTrue(copies.spare(at("e1"), "hot", NOW));
    assertTrue(copies.keepValue(at("e1"), "hot", NOW) < copies.value(Entries.SERVICE, "x", NOW));
  }

  @Test
  @DisplayName("are not spare when the others cannot carry the demand and the loss of one")
  void carried() {
    perSecond("hot", 40);

    assertFalse(copies.spare(at("e1"), "hot", NOW));
  }

  @Test
  @DisplayName(
      "are not spare when they are the only ones of a failure domain, which may be cut off")
  void lastOfDomain() {
    perSecond("hot", 10);
    endpoints.remove("e4", NOW);
    endpoints.put(Entries.engine("e5", "west", "hot"));

    assertFalse(copies.spare(at("e3"), "hot", NOW));
    assertTrue(copies.spare(at("e1"), "hot", NOW));
  }

  @Test
  @DisplayName("are all kept before there is any demand to judge by")
  void beforeDemand() {
    CopyPolicy fresh = new CopyPolicy(endpoints, new ModelDemand(), loads);

    assertFalse(fresh.spare(at("e1"), "hot", NOW));
  }

  @Test
  @DisplayName("of a rare model are not needed twice, also while the first is on its way")
  void rareOnce() {
    assertTrue(copies.needed(at("e1"), "x", 1_000, NOW));
    loads.begin("e2", new LoadBoard.Load("x", false, NOW + 1_000));
    assertFalse(copies.needed(at("e1"), "x", 1_000, NOW));
  }

  @Test
  @DisplayName("that come late are not waited for when many ask and another endpoint is faster")
  void hotSooner() {
    perSecond("x", 5);
    loads.begin("e2", new LoadBoard.Load("x", true, NOW + 6_000));

    assertTrue(copies.needed(at("e1"), "x", 1_000, NOW));
    assertFalse(copies.needed(at("e1"), "x", 6_000, NOW));
  }

  @Test
  @DisplayName("at endpoints that cannot be reached do not count as held")
  void unreachable() {
    at("e1").avoid(NOW + 1_000);
    assertTrue(copies.needed(at("e2"), "a", 1_000, NOW));
  }

  @Test
  @DisplayName("of a model that many ask for are needed in each failure domain")
  void hotInEachDomain() {
    perSecond("a", 5);
    assertTrue(copies.needed(at("e3"), "a", 1_000, NOW));
    assertFalse(copies.needed(at("e2"), "a", 1_000, NOW));
  }

  @Test
  @DisplayName("are missed when many ask for a model that nobody holds")
  void missed() {
    perSecond("x", 5);
    perSecond("hot", 5);

    assertTrue(copies.missed(Entries.SERVICE, "x", NOW));
    assertFalse(copies.missed(Entries.SERVICE, "hot", NOW));
    assertFalse(copies.missed(Entries.SERVICE, "y", NOW), "a model that hardly anyone asks for");
  }

  @Test
  @DisplayName("are judged by the true rate soon after the first request")
  void firstSeconds() {
    ModelDemand fresh = new ModelDemand();
    for (int i = 0; i < 40; i++) {
      fresh.add("m", 1, NOW + i * 50);
    }

    assertEquals(20, fresh.rate("m", NOW + 2_000), 2);
  }
}
