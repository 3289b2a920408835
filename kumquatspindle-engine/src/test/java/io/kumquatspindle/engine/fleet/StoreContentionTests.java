package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against loads that pile up at a weight store which is slower than assumed. */
@DisplayName("A burst of models without copies")
class StoreContentionTests {
  /** Load time of the simulated weight store at full speed, in ms. */
  private static final long LOAD_MS = 6_000;

  /** Number of loads after which the capacity of the store should be known. */
  private static final int FIRST_LOADS = 8;

  /**
   * Factor by which a load may be slowed down: a model in demand may use the store beside as many
   * loads as it serves at full speed.
   */
  private static final double MAX_SLOWDOWN = 2;

  @ParameterizedTest
  @CsvSource({"1, 2", "2, 2", "3, 2", "1, 3", "2, 3", "3, 3", "1, 4", "2, 4", "3, 4"})
  @DisplayName("does not slow down the loads of a weight store of any capacity for long")
  void loadsPileUp(long seed, int capacity) {
    LoadSimulation simulation = new LoadSimulation(seed, false, capacity, false);
    simulation.run(60_000, 3, "hot", 3_000);

    List<Long> durations = simulation.storeLoadDurations();
    List<Long> later = durations.subList(Math.min(FIRST_LOADS, durations.size()), durations.size());
    double meanMs = later.stream().mapToLong(d -> d).average().orElse(Double.MAX_VALUE);
    System.out.printf(
        "capacity %d, seed %d: %d loads ended, %d at once at most, later ones %.0f ms%n",
        capacity, seed, durations.size(), simulation.maxConcurrentStoreLoads(), meanMs);
    assertTrue(meanMs <= MAX_SLOWDOWN * LOAD_MS, "mean duration " + meanMs + " ms");
    double possible = 60_000.0 * capacity / LOAD_MS;
    assertTrue(durations.size() >= 0.7 * possible, durations.size() + " loads of " + possible);
  }
}
