package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.fleet.EngineInfo;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Placement")
class PlacementReplayTests {
  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final LoadBoard loads = new LoadBoard();
  private final RunningBoard running = new RunningBoard();
  private final LoadQueues queues = new LoadQueues();
  private final CopyPolicy copies = new CopyPolicy(endpoints, demand, loads);
  private final PlacementChooser chooser =
      new PlacementChooser(endpoints, copies, loads, queues, running);

  @BeforeEach
  void endpoints() {
    endpoints.put(Entries.engine("e1", "west", 0, Set.of("m"), "a", "b"));
    endpoints.put(Entries.engine("e2", "west", 0, Set.of(), "a", "c"));
    endpoints.put(Entries.engine("e3", "east", 0, Set.of(), "d"));
  }

  private Optional<Endpoint> choose(String model, long now) {
    return chooser.choose(
        Entries.SERVICE,
        Entries.info("a", "b", "c", "d", "m", "n"),
        model,
        "",
        "west",
        Set.of(),
        now);
  }

  @Test
  @DisplayName("takes the copy on a disk before the weight store")
  void disk() {
    assertEquals("e1", choose("m", 0).orElseThrow().id());
  }

  @Test
  @DisplayName("takes free memory before an eviction of a model in demand")
  void freeMemory() {
    for (int i = 0; i < 50; i++) {
      demand.add("a", 1, 0);
      demand.add("b", 1, 0);
      demand.add("c", 1, 0);
    }
    assertEquals("e3", choose("n", 0).orElseThrow().id());
  }

  @Test
  @DisplayName(
      "leaves an endpoint alone whose models are all in demand, though its disk has a copy")
  void noRoomBesideDemand() {
    for (int i = 0; i < 200; i++) {
      demand.add("a", 1, 0);
      demand.add("b", 1, 0);
    }
    assertNotEquals("e1", choose("m", 0).orElseThrow().id());
  }

  @Test
  @DisplayName("joins a load that is in progress instead of beginning a second one")
  void joinsLoad() {
    loads.begin("e2", new LoadBoard.Load("n", true, 6_000));
    assertEquals("e2", choose("n", 100).orElseThrow().id());
  }

  @Test
  @DisplayName("fetches each model that has no copy once over all endpoints that are not busy")
  void prefetch() {
    demand.add("d", 100, 0);
    Map<String, String> chosen = prefetched(Entries.info("a", "b", "d", "m", "n"));

    assertEquals(Set.of("n"), Set.copyOf(chosen.values()));
    assertEquals(1, chosen.size());
    assertTrue(!chosen.containsKey("e3"), "a busy endpoint is disturbed");
  }

  @Test
  @DisplayName("fetches a second copy of a model with adapters, whose only endpoint may leave")
  void secondCopy() {
    demand.add("d", 100, 0);
    Map<String, String> chosen = prefetched(Entries.info("a", "b", "c", "d", "m"));

    assertEquals(Map.of("e1", "c"), chosen);
  }

  private Map<String, String> prefetched(EngineInfo engine) {
    Prefetch prefetch = new Prefetch(endpoints, demand, loads);
    Map<String, String> chosen = new HashMap<>();
    for (Endpoint e : endpoints.all()) {
      prefetch.next(e, engine, Set.of(), 0).ifPresent(m -> chosen.put(e.id(), m));
    }
    return chosen;
  }

  @Test
  @DisplayName("does not count loads of endpoints that are gone as loads from the weight store")
  void lostLoads() {
    loads.begin("e1", new LoadBoard.Load("n", true, 6_000));
    loads.begin("gone", new LoadBoard.Load("m", true, 6_000));
    loads.retain(endpoints::knows);

    assertEquals(1, loads.fromStore(100));
  }

  @Test
  @DisplayName("keeps a session at one endpoint until that is far busier than the others")
  void affinity() {
    EndpointSelector selector = new EndpointSelector("west");
    Set<String> none = Set.of();
    Endpoint home = selector.choose(endpoints.all(), none, "session", 0).orElseThrow();
    for (int i = 0; i < 5; i++) {
      home.sent();
    }
    assertEquals(home, selector.choose(endpoints.all(), none, "session", 1).orElseThrow());
    for (int i = 0; i < 60; i++) {
      home.sent();
    }
    assertNotEquals(home, selector.choose(endpoints.all(), none, "session", 2).orElseThrow());
  }

  @Test
  @DisplayName("avoids an endpoint that fails its requests though it is idle")
  void failing() {
    EndpointSelector selector = new EndpointSelector("west");
    for (int i = 0; i < 5; i++) {
      endpoints.find("e1").orElseThrow().outcome(true, 0);
    }
    for (int i = 0; i < 20; i++) {
      assertNotEquals(
          "e1", selector.choose(endpoints.all(), Set.of(), "s" + i, i).orElseThrow().id());
    }
  }
}
