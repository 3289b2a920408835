package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.engine.fleet.StoreLoadPlanner.Assignment;
import io.kumquatspindle.engine.fleet.StoreLoadPlanner.Reason;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Engines hold two models; a load from the weight store takes 6 s. */
@DisplayName("The next load from the weight store")
class StoreLoadPlannerTests {
  private static final List<String> DOMAINS = List.of("west", "east");

  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final ActiveLoads loads = new ActiveLoads(4);
  private final ReplicaPolicy replicas = new ReplicaPolicy(endpoints, demand, loads);
  private final PlacementChooser chooser =
      new PlacementChooser(endpoints, replicas, loads, new LoadQueues(), new ActiveRequests());
  private final StoreLoadPlanner planner =
      new StoreLoadPlanner(endpoints, demand, loads, replicas, chooser);
  private final EngineInfo engine = TestEndpoints.engineInfo("a", "b", "c", "n", "o", "p");
  private final List<ServiceInfo> services =
      List.of(new ServiceInfo(TestEndpoints.SERVICE, Optional.of(engine)));

  @BeforeEach
  void fleet() {
    endpoints.put(TestEndpoints.endpoint("e1", "west", "a", "b"), 0);
    endpoints.put(TestEndpoints.endpoint("e2", "east", "a"), 0);
    endpoints.put(TestEndpoints.endpoint("e3", "east", 0, Set.of("p"), "b"), 0);
  }

  private Optional<Assignment> nextRequested(long now) {
    return planner.nextRequested(services, DOMAINS, (e, m) -> false, now);
  }

  @Test
  @DisplayName("is for the model with the most requests that no replica can serve")
  void mostUnserved() {
    demand.addRequests("a", 20, 0);
    demand.addRequests("n", 2, 0);
    demand.addRequests("o", 3, 0);

    assertEquals(Optional.of("o"), nextRequested(10_000).map(Assignment::model));
    loads.started("e2", "o", true, 6_000, 10_000);
    assertEquals(Optional.of("n"), nextRequested(10_000).map(Assignment::model));
    loads.started("e3", "n", true, 6_000, 10_000);
    assertEquals(Optional.empty(), nextRequested(10_000).map(Assignment::model));
  }

  @Test
  @DisplayName("is not for a model that nobody has requested for long")
  void demandIsOver() {
    demand.addRequests("n", 1, 0);

    assertEquals(Optional.empty(), nextRequested(30_000));
  }

  @Test
  @DisplayName("is not for a model with a copy on an endpoint that is loading another one for less")
  void copyOnLoadingEndpoint() {
    demand.addRequests("p", 2, 0);
    assertEquals(Optional.empty(), nextRequested(100));
    loads.started("e3", "o", true, 6_000, 100);
    assertEquals(Optional.empty(), nextRequested(100));
  }

  @Test
  @DisplayName("is for a model whose copy is on an endpoint that loads for longer than the store")
  void copyOnSlowEndpoint() {
    demand.addRequests("p", 2, 0);
    loads.started("e3", "o", true, 20_000, 100);

    assertEquals(Optional.of("p"), nextRequested(100).map(Assignment::model));
  }

  @Test
  @DisplayName("is for a model in high demand that a failure domain lacks once all are served")
  void domainWithoutReplica() {
    endpoints.put(TestEndpoints.endpoint("e4", "west", "o"), 0);
    demand.addRequests("o", 10, 0);
    demand.addRequests("n", 1, 0);
    assertEquals(Optional.of("n"), nextRequested(1_000).map(Assignment::model));
    loads.started("e1", "n", true, 6_000, 1_000);

    Assignment next = nextRequested(1_000).orElseThrow();
    assertEquals("o", next.model());
    assertEquals(Reason.DOMAIN, next.reason());
    assertEquals("east", next.endpoint().entry().domain());
  }

  @Test
  @DisplayName("without requests is for a model without a copy before one with a single copy")
  void prefetchOrder() {
    // Of "c", which has adapters, two copies are wanted.
    endpoints.put(TestEndpoints.endpoint("e4", "west", "c"), 0);
    Set<String> fetched = Set.of("o");

    assertEquals(
        Optional.of("n"),
        planner.nextPrefetch(services, fetched, (e, m) -> false, 0).map(Assignment::model));
    assertEquals(
        Optional.of("c"),
        planner
            .nextPrefetch(services, Set.of("n", "o"), (e, m) -> false, 0)
            .map(Assignment::model));
  }
}
