package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against stale cache entries after a change to an endpoint. */
@Label("Holders of a model")
class HolderIndexTests {
  private static final List<String> MODELS = List.of("a", "b", "c");

  /**
   * A change: its kind, the endpoint and model that it applies to, and the time since the previous
   * change.
   */
  record Change(int kind, int endpoint, int model, int afterMs) {}

  @Property(tries = 300)
  @Label("are the same as in a scan of all endpoints, after any changes")
  void matchesFullScan(
      @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 719) Integer> changes) {
    EndpointTable table = new EndpointTable();
    long now = 0;
    for (int c : changes) {
      Change change = new Change(c % 6, c / 6 % 4, c / 24 % 3, c / 72 * 300);
      now += change.afterMs();
      apply(table, change, now);
      for (String model : MODELS) {
        assertEquals(
            scannedHolders(table, model, now),
            indexedHolders(table, model, now),
            change + " " + model);
      }
    }
  }

  @Example
  @Label("do not exhaust memory when callers request unknown names")
  void unknownNames() {
    HolderIndex index = new HolderIndex();
    for (int i = 0; i < 3 * HolderIndex.MAX_MODELS; i++) {
      index.holders(TestEndpoints.SERVICE, "unknown-" + i, List.of(), 0);
    }

    assertTrue(index.size() <= HolderIndex.MAX_MODELS);
  }

  private static void apply(EndpointTable table, Change c, long now) {
    String id = "e" + c.endpoint();
    String model = MODELS.get(c.model());
    Consumer<Endpoint> update = e -> e.updateHolding(model, "", c.kind() == 2, now);
    switch (c.kind()) {
      case 0 -> table.put(TestEndpoints.endpoint(id, "west", model), now);
      case 1 -> table.put(TestEndpoints.endpoint(id, "west", now, Set.of(), "a", model), now);
      case 2, 3 -> table.find(id).ifPresent(update);
      case 4 -> table.remove(id, now);
      default -> table.put(TestEndpoints.endpoint(id, "west"), now);
    }
  }

  private static Set<String> indexedHolders(EndpointTable table, String model, long now) {
    Set<String> ids = new TreeSet<>();
    table.holders(TestEndpoints.SERVICE, model, now).forEach(e -> ids.add(e.id()));
    return ids;
  }

  private static Set<String> scannedHolders(EndpointTable table, String model, long now) {
    Set<String> ids = new TreeSet<>();
    table.all().stream().filter(e -> e.holds(model, "", now)).forEach(e -> ids.add(e.id()));
    return ids;
  }
}
