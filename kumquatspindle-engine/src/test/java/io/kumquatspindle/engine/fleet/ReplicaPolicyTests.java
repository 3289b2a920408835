package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Replicas of models")
class ReplicaPolicyTests {
  private static final long NOW = 60_000;

  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final ActiveLoads loads = new ActiveLoads(4);
  private final ReplicaPolicy replicas = new ReplicaPolicy(endpoints, demand, loads);

  @BeforeEach
  void endpoints() {
    endpoints.put(TestEndpoints.endpoint("e1", "west", "hot", "a"), 0);
    endpoints.put(TestEndpoints.endpoint("e2", "west", "hot", "b"), 0);
    endpoints.put(TestEndpoints.endpoint("e3", "east", "hot"), 0);
    endpoints.put(TestEndpoints.endpoint("e4", "east", "hot"), 0);
    demand.addRequests("a", 1, 0);
  }

  private Endpoint endpoint(String id) {
    return endpoints.find(id).orElseThrow();
  }

  private void addDemand(String model, double rate) {
    demand.addRequests(model, rate * ModelDemand.DECAY_MS / 1_000, NOW);
  }

  @Test
  @DisplayName(
      "are surplus when they exceed the demand, so that they can be evicted for rarely used models")
  void surplus() {
    addDemand("hot", 10);

    assertTrue(replicas.surplus(endpoint("e1"), "hot", NOW));
    assertTrue(
        replicas.keepValue(endpoint("e1"), "hot", NOW)
            < replicas.loadValue(TestEndpoints.SERVICE, "x", NOW));
  }

  @Test
  @DisplayName("are not loaded again from the weight store while a load is slowed down by others")
  void loadSlowedDown() {
    addDemand("x", 5);
    loads.started("e2", "x", true, 6_000, NOW);
    for (int i = 0; i < 8; i++) {
      loads.started("other" + i, "y", true, 6_000, NOW);
    }

    assertFalse(replicas.replicaNeeded(endpoint("e1"), "x", 6_000, NOW + 1_000));
  }

  @Test
  @DisplayName("are not surplus when the others cannot serve the demand after the loss of one")
  void demandNeedsAll() {
    addDemand("hot", 40);

    assertFalse(replicas.surplus(endpoint("e1"), "hot", NOW));
  }

  @Test
  @DisplayName("are not surplus when they are the last in a failure domain, which may be cut off")
  void lastOfDomain() {
    addDemand("hot", 10);
    endpoints.remove("e4", NOW);
    endpoints.put(TestEndpoints.endpoint("e5", "west", "hot"), 0);

    assertFalse(replicas.surplus(endpoint("e3"), "hot", NOW));
    assertTrue(replicas.surplus(endpoint("e1"), "hot", NOW));
  }

  @Test
  @DisplayName("are all kept until demand has been observed")
  void beforeDemand() {
    ReplicaPolicy fresh = new ReplicaPolicy(endpoints, new ModelDemand(), loads);

    assertFalse(fresh.surplus(endpoint("e1"), "hot", NOW));
  }

  @Test
  @DisplayName("of a rarely used model are not needed twice, even while the first is being loaded")
  void rareOnce() {
    assertTrue(replicas.replicaNeeded(endpoint("e1"), "x", 1_000, NOW));
    loads.started("e2", "x", false, 1_000, NOW);
    assertFalse(replicas.replicaNeeded(endpoint("e1"), "x", 1_000, NOW));
  }

  @Test
  @DisplayName("of a model in high demand do not count if this endpoint would be ready sooner")
  void hotSooner() {
    addDemand("x", 5);
    loads.started("e2", "x", true, 6_000, NOW);

    assertTrue(replicas.replicaNeeded(endpoint("e1"), "x", 1_000, NOW));
    assertFalse(replicas.replicaNeeded(endpoint("e1"), "x", 6_000, NOW));
  }

  @Test
  @DisplayName("at avoided endpoints do not count")
  void unreachable() {
    endpoint("e1").avoidUntil(NOW + 1_000);
    assertTrue(replicas.replicaNeeded(endpoint("e2"), "a", 1_000, NOW));
  }

  @Test
  @DisplayName("of a model in high demand are needed in each failure domain")
  void hotInEachDomain() {
    addDemand("a", 5);
    assertTrue(replicas.replicaNeeded(endpoint("e3"), "a", 1_000, NOW));
    assertFalse(replicas.replicaNeeded(endpoint("e2"), "a", 1_000, NOW));
  }

  @Test
  @DisplayName("are urgent for a model in high demand that no endpoint holds")
  void urgent() {
    addDemand("x", 5);
    addDemand("hot", 5);

    assertTrue(replicas.urgent(TestEndpoints.SERVICE, "x", NOW));
    assertFalse(replicas.urgent(TestEndpoints.SERVICE, "hot", NOW));
    assertFalse(replicas.urgent(TestEndpoints.SERVICE, "y", NOW), "a model in low demand");
  }

  @Test
  @DisplayName("are based on an accurate request rate soon after the first request")
  void firstSeconds() {
    ModelDemand fresh = new ModelDemand();
    for (int i = 0; i < 40; i++) {
      fresh.addRequests("m", 1, NOW + i * 50);
    }

    assertEquals(20, fresh.rate("m", NOW + 2_000), 2);
  }
}
