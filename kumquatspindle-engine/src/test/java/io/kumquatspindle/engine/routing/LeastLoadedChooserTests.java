package io.kumquatspindle.engine.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("LeastLoadedChooser")
class LeastLoadedChooserTests {
  private static final FailureDomain A = FailureDomain.of("a");
  private static final FailureDomain B = FailureDomain.of("b");

  private final EndpointChooser chooser = new LeastLoadedChooser();

  private static RoutingCandidate candidate(
      String name, FailureDomain domain, int reported, int sent) {
    return new RoutingCandidate(EndpointName.of(name), domain, reported, sent, 4, false, false);
  }

  private Optional<EndpointName> choose(RoutingCandidate... candidates) {
    return chooser.choose(List.of(candidates), A, new Random(1));
  }

  @Test
  @DisplayName(
      "counts requests sent since the report, so that a burst does not overload an idle endpoint")
  void countsSentRequests() {
    RoutingCandidate stale = candidate("stale", A, 0, 3);
    RoutingCandidate busy = candidate("busy", A, 1, 1);
    assertEquals(Optional.of(busy.endpoint()), choose(stale, busy));
  }

  @Test
  @DisplayName("prefers the local failure domain while it has free capacity, then any other")
  void prefersOwnFailureDomain() {
    RoutingCandidate far = candidate("far", B, 0, 0);
    assertEquals("near", choose(candidate("near", A, 3, 0), far).orElseThrow().value());
    assertEquals("far", choose(candidate("near", A, 4, 0), far).orElseThrow().value());
  }

  @Test
  @DisplayName("chooses a recently failed endpoint only if there is no other")
  void avoidsRecentlyFailed() {
    RoutingCandidate failed =
        new RoutingCandidate(EndpointName.of("failed"), A, 0, 0, 4, false, true);
    assertEquals("full", choose(failed, candidate("full", B, 9, 9)).orElseThrow().value());
    assertEquals("failed", choose(failed).orElseThrow().value());
  }

  @Property
  @DisplayName("never chooses a leaving endpoint, regardless of loads")
  void neverChoosesLeaving(
      @ForAll @IntRange(max = 6) int staying,
      @ForAll @IntRange(max = 6) int leaving,
      @ForAll long seed) {
    Random random = new Random(seed);
    List<RoutingCandidate> all = new ArrayList<>();
    for (int i = 0; i < staying + leaving; i++) {
      EndpointName name = EndpointName.of((i < staying ? "s" : "l") + i);
      FailureDomain domain = random.nextBoolean() ? A : B;
      boolean failed = random.nextBoolean();
      int capacity = random.nextInt(5);
      int load = random.nextInt(9);
      all.add(new RoutingCandidate(name, domain, load, 0, capacity, i >= staying, failed));
    }
    for (EndpointChooser each : List.of(chooser, new RandomChooser())) {
      Optional<EndpointName> chosen = each.choose(all, A, random);
      assertEquals(staying > 0, chosen.isPresent());
      assertTrue(chosen.map(n -> n.value().startsWith("s")).orElse(true));
    }
  }
}
