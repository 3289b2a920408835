package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Simulation of loads under bursts of requests")
class LoadSimulationTests {
  /**
   * Minimum share of each kind of request that must be served within its goal on a calm day, from
   * the requirements of the deployment.
   */
  private static final double FLOOR = 0.46;

  /** Goal of requests for rarely used models from the same requirements, in ms. */
  private static final long RARE_GOAL_MS = 3_000;

  private static LoadSimulation burst(long seed, boolean baseline) {
    LoadSimulation simulation = new LoadSimulation(seed, baseline);
    simulation.run(9_000, 3, "hot", RARE_GOAL_MS);
    simulation.run(6_000, 6.3, "hot", RARE_GOAL_MS);
    simulation.run(15_000, 3, "hot", RARE_GOAL_MS);
    simulation.drain(10_000);
    return simulation;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  @DisplayName(
      "a burst of rarely used models meets its goals at least as often as with loads by age")
  void burst(long seed) {
    LoadSimulation scheduled = burst(seed, false);
    LoadSimulation baseline = burst(seed, true);

    System.out.printf(
        "within goal, seed %d: %.3f, by age %.3f; loads from the store: %d, by age %d%n",
        seed,
        scheduled.rareGoalShare(),
        baseline.rareGoalShare(),
        scheduled.storeLoads(),
        baseline.storeLoads());
    assertTrue(scheduled.rareGoalShare() >= FLOOR, "within goal: " + scheduled.rareGoalShare());
    assertTrue(
        scheduled.rareGoalShare() >= baseline.rareGoalShare(),
        "within goal by age: " + baseline.rareGoalShare());
  }

  @Test
  @DisplayName("a model with a copy on a disk is not loaded from the weight store again")
  void usesLocalCopy() {
    LoadSimulation simulation = new LoadSimulation(7, false);
    simulation.run(20_000, 2, "hot", RARE_GOAL_MS);

    assertEquals(0, simulation.storeLoads());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  @DisplayName("a model with a sudden increase in demand does not wait behind rarely used ones")
  void demandShift(long seed) {
    LoadSimulation simulation = new LoadSimulation(seed, false);
    simulation.run(10_000, 6, "hot", RARE_GOAL_MS);
    simulation.run(10_000, 6, "next", RARE_GOAL_MS);
    // The load in progress, a running request, an eviction, the model's own load, and the time
    // until its demand counts as high.
    long bound = 1_000 + 400 + 200 + 1_000 + 500;

    assertTrue(
        simulation.firstNewlyHotDelayMs() <= bound,
        "first request waited " + simulation.firstNewlyHotDelayMs() + " ms");
  }
}
