package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.fleet.EndpointEntry;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to endpoints that are gone, evacuated, cold or at their limit, and
 * against the loss of endpoints that the store only fails to list.
 */
@DisplayName("Endpoint table")
class EndpointTableTests {
  private final EndpointTable table = new EndpointTable();

  @Test
  @DisplayName("defers removals after an outage until the entries had time to reappear")
  void removalAfterOutage() {
    table.put(TestEndpoints.endpoint("e1", "west"), 0);
    table.storeRecovered(1_000);
    table.remove("e1", 1_100);

    assertTrue(table.find("e1").isPresent());
    assertEquals(List.of(), table.expire(2_900));
    assertEquals(List.of("e1"), table.expire(3_000));
    assertTrue(table.find("e1").isEmpty());
  }

  @Test
  @DisplayName("offers no endpoints of an evacuated failure domain, until the evacuation ends")
  void evacuated() {
    table.put(TestEndpoints.endpoint("e1", "west", "a"), 0);
    table.put(TestEndpoints.endpoint("e2", "east", "a", "b"), 0);
    assertEquals(2, table.holders(TestEndpoints.SERVICE, "a", 0).size());

    assertEquals(
        List.of(new EvacuatedDomains.Change("east", true)), table.updateEvacuation("east", true));
    assertEquals(List.of(), table.updateEvacuation("east", true));
    assertEquals(1, table.available(TestEndpoints.SERVICE).size());
    assertEquals(1, table.holders(TestEndpoints.SERVICE, "a", 0).size());
    assertEquals(List.of(), table.holders(TestEndpoints.SERVICE, "b", 0));
    assertFalse(table.acceptsWork(table.find("e2").orElseThrow()));
    assertFalse(table.noneAllowed(TestEndpoints.SERVICE, Home.ANYWHERE));

    assertEquals(
        List.of(
            new EvacuatedDomains.Change("east", false), new EvacuatedDomains.Change("west", true)),
        table.replaceEvacuations(Set.of("west")));
    assertEquals(1, table.holders(TestEndpoints.SERVICE, "b", 0).size());
    table.updateEvacuation("east", true);
    assertTrue(table.noneAllowed(TestEndpoints.SERVICE, Home.ANYWHERE));
    table.replaceEvacuations(Set.of());
    assertEquals(2, table.holders(TestEndpoints.SERVICE, "a", 0).size());
  }

  @Test
  @DisplayName("offers no endpoint whose entry moves it into an evacuated failure domain")
  void movedIntoEvacuatedDomain() {
    table.put(TestEndpoints.endpoint("e1", "west", "a"), 0);
    table.updateEvacuation("east", true);
    assertEquals(1, table.available(TestEndpoints.SERVICE).size());
    table.put(TestEndpoints.endpoint("e1", "east", "a"), 0);

    assertEquals(List.of(), table.available(TestEndpoints.SERVICE));
  }

  /**
   * Guards against requests to an endpoint that has gone or is leaving, after the store has come
   * back from a copy in which its entry is an earlier one.
   */
  @Test
  @DisplayName("keeps to what is known when the store lists earlier entries again")
  void restoredEntries() {
    EndpointEntry ready = TestEndpoints.endpoint("e1", "west", "a");
    EndpointEntry gone = TestEndpoints.endpoint("e2", "west", "a");
    EndpointEntry leaving = leaving(TestEndpoints.endpoint("e3", "west", "a"));
    table.put(ready, 0);
    table.put(gone, 0);
    table.remove("e2", 0);
    table.put(leaving, 0);

    assertFalse(table.putRestored(TestEndpoints.endpoint("e1", "west"), 10));
    assertFalse(table.putRestored(gone, 10));
    assertFalse(table.putRestored(TestEndpoints.endpoint("e3", "west", "a"), 10));

    assertEquals(List.of(ready), entries(table.holders(TestEndpoints.SERVICE, "a", 10)));
    table.put(gone, 20);
    assertEquals(2, table.holders(TestEndpoints.SERVICE, "a", 20).size());
  }

  @Test
  @DisplayName("adopts from a restored list what is new there, and that an endpoint is leaving")
  void newsInRestoredEntries() {
    table.put(TestEndpoints.endpoint("e1", "west", "a"), 0);

    assertTrue(table.putRestored(leaving(TestEndpoints.endpoint("e1", "west", "a")), 10));
    assertTrue(table.putRestored(TestEndpoints.endpoint("e2", "west", "a"), 10));
    assertEquals(1, table.holders(TestEndpoints.SERVICE, "a", 10).size());
  }

  @Test
  @DisplayName("keeps an endpoint pending removal that only a restored list names")
  void pendingRemovalInRestoredEntries() {
    EndpointEntry entry = TestEndpoints.endpoint("e1", "west");
    table.put(entry, 0);
    table.storeRecovered(1_000);
    table.remove("e1", 1_100);
    table.storeRecovered(900);

    assertFalse(table.putRestored(entry, 1_200));
    assertEquals(List.of("e1"), table.expire(3_000));
  }

  private static EndpointEntry leaving(EndpointEntry e) {
    return new EndpointEntry(
        e.id(),
        e.service(),
        e.host(),
        e.port(),
        e.domain(),
        e.slots(),
        true,
        e.removedInMs(),
        e.startedAtMs(),
        e.models(),
        e.inMemory(),
        e.onDisk());
  }

  private static List<EndpointEntry> entries(List<Endpoint> endpoints) {
    return endpoints.stream().map(Endpoint::entry).toList();
  }

  @Test
  @DisplayName("removes endpoints immediately while the store is available")
  void removed() {
    table.put(TestEndpoints.endpoint("e1", "west"), 0);
    table.remove("e1", 50_000);

    assertTrue(table.find("e1").isEmpty());
  }

  @Test
  @DisplayName("removes endpoints that are missing from a complete list")
  void retain() {
    table.put(TestEndpoints.endpoint("e1", "west"), 0);
    table.put(TestEndpoints.endpoint("e2", "west"), 0);
    table.retain(Set.of("e2"), 50_000);

    assertTrue(table.find("e1").isEmpty());
    assertTrue(table.find("e2").isPresent());
  }

  @Test
  @DisplayName("discards the state of an endpoint that restarted under the same ID")
  void restarted() {
    table.put(TestEndpoints.endpoint("e1", "west", 1, Set.of(), "a"), 0);
    table.find("e1").orElseThrow().updateHolding("b", "", true, 0);
    table.put(TestEndpoints.endpoint("e1", "west", 2, Set.of()), 0);

    assertFalse(table.find("e1").orElseThrow().holds("b", "", 1));
    assertFalse(table.find("e1").orElseThrow().holds("a", "", 1));
  }

  @Test
  @DisplayName("keeps what an endpoint said of itself while its entry is gone, until it restarts")
  void announcements() {
    table.put(TestEndpoints.endpoint("e1", "west", 1, Set.of()), 0);
    Endpoint e = table.find("e1").orElseThrow();
    table.remove("e1", 50_000);
    assertTrue(table.announceLeaving(e));
    table.refuseUntil(e, 52_000);

    table.put(TestEndpoints.endpoint("e1", "west", 1, Set.of()), 0);
    assertEquals(List.of(), table.available(TestEndpoints.SERVICE));
    assertTrue(table.find("e1").orElseThrow().refuses(51_999));
    assertFalse(table.announceLeaving(e));

    table.put(TestEndpoints.endpoint("e1", "west", 2, Set.of()), 0);
    assertEquals(1, table.available(TestEndpoints.SERVICE).size());
    assertFalse(table.find("e1").orElseThrow().refuses(51_999));
  }

  @Test
  @DisplayName("gives recent updates about a model precedence over an older entry")
  void updateOverridesEntry() {
    table.put(TestEndpoints.endpoint("e1", "west", "a"), 0);
    Endpoint e = table.find("e1").orElseThrow();
    e.updateHolding("a", "", false, 0);
    table.put(TestEndpoints.endpoint("e1", "west", "a"), 0);

    assertFalse(e.holds("a", "", 100));
    assertTrue(e.holds("a", "", HoldingUpdates.EVICTION_VALID_MS));
  }

  @Test
  @DisplayName("keeps a loaded model until an entry that is later than the load has been read")
  void loadedModelUntilLaterEntry() {
    table.put(TestEndpoints.endpoint("e1", "west"), 0);
    Endpoint e = table.find("e1").orElseThrow();
    e.updateHolding("a", "", true, 0);

    // A heartbeat of 1.2 s, published 0.8 s late, is read 1.8 s later at the latest.
    assertTrue(e.holds("a", "", 3_800));
    table.put(TestEndpoints.endpoint("e1", "west"), 1_000);
    assertTrue(e.holds("a", "", 1_000));
    table.put(TestEndpoints.endpoint("e1", "west"), 3_500);
    assertFalse(e.holds("a", "", 3_500));
    assertTrue(table.holders(TestEndpoints.SERVICE, "a", 3_500).isEmpty());
  }

  @Test
  @DisplayName("keeps the latest word of an endpoint on its limit, whichever comes last")
  void limitsOvertakeEachOther() {
    table.put(TestEndpoints.endpoint("e1", "west"), 0);
    Endpoint e = table.find("e1").orElseThrow();

    assertTrue(table.recordLimit(e, OptionalDouble.of(2), 1_000));
    assertFalse(table.recordLimit(e, OptionalDouble.empty(), 900));
    assertFalse(table.recordLimit(e, OptionalDouble.of(2), 1_100));
    assertTrue(table.recordLimit(e, OptionalDouble.empty(), 1_200));
    assertFalse(table.recordLimit(e, OptionalDouble.of(3), 1_150));
    assertFalse(e.limited());
  }

  @Test
  @DisplayName("limits a cold endpoint until its time is over, and never above its own limit")
  void coldEndpoint() {
    table.setColdRates(Map.of(TestEndpoints.SERVICE, 4.0));
    table.put(TestEndpoints.cold("e1", "west", 2_000), 1_000);
    Endpoint e = table.find("e1").orElseThrow();
    assertEquals(OptionalDouble.of(4), e.limitPerS());
    assertFalse(e.statesLimit());
    table.recordLimit(e, OptionalDouble.of(2), 1_100);
    assertEquals(OptionalDouble.of(2), e.limitPerS());
    table.recordLimit(e, OptionalDouble.of(9), 1_200);
    assertEquals(OptionalDouble.of(4), e.limitPerS());

    assertEquals(List.of(), table.endColdPeriods(2_999));
    assertEquals(List.of(e), table.endColdPeriods(3_000));
    assertEquals(OptionalDouble.of(9), e.limitPerS());
    table.recordLimit(e, OptionalDouble.empty(), 3_100);
    assertFalse(e.limited());
  }

  @Test
  @DisplayName("limits an endpoint that becomes cold again, by its entry or by word of a peer")
  void coldAgain() {
    table.put(TestEndpoints.cold("e1", "west", 500), 0);
    Endpoint e = table.find("e1").orElseThrow();
    assertFalse(e.limited());
    table.setColdRates(Map.of(TestEndpoints.SERVICE, 4.0));
    assertTrue(e.limited());
    table.put(TestEndpoints.cold("e1", "west", 0), 400);
    assertFalse(e.limited());
    table.coldAtPeer(e, 500);
    assertTrue(e.cold());
    table.put(TestEndpoints.cold("e1", "west", 7_000), 1_000);
    table.endColdPeriods(7_900);
    assertTrue(e.cold());
    table.setColdRates(Map.of());
    assertFalse(e.limited());
  }

  @Test
  @DisplayName("keeps the limit of an endpoint whose entry lapses and comes back, not of a restart")
  void limitOfReturnedEndpoint() {
    table.put(TestEndpoints.endpoint("e1", "west", 1, Set.of()), 0);
    table.recordLimit(table.find("e1").orElseThrow(), OptionalDouble.of(2), 1_000);
    table.remove("e1", 50_000);
    table.put(TestEndpoints.endpoint("e1", "west", 1, Set.of()), 0);

    assertEquals(OptionalDouble.of(2), table.find("e1").orElseThrow().limitPerS());
    assertTrue(table.findInstance("e1/1").isPresent());
    table.put(TestEndpoints.endpoint("e1", "west", 2, Set.of()), 0);
    assertFalse(table.find("e1").orElseThrow().limited());
    assertTrue(table.findInstance("e1/1").isEmpty());
  }
}
