package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Replay of loads at their worst")
class LoadReplayTests {
  /** Share of a kind of request that a calm day of the deployment serves at least, by its sheet. */
  private static final double FLOOR = 0.46;

  /** Goal of requests for rare models on the same sheet, in ms. */
  private static final long RARE_GOAL_MS = 3_000;

  private static LoadReplay burst(long seed, boolean plain) {
    LoadReplay replay = new LoadReplay(seed, plain);
    replay.play(9_000, 3, "hot", RARE_GOAL_MS);
    replay.play(6_000, 6.3, "hot", RARE_GOAL_MS);
    replay.play(15_000, 3, "hot", RARE_GOAL_MS);
    replay.drain(10_000);
    return replay;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  @DisplayName("a burst of rare models keeps its goals, more of them than loads by age do")
  void burst(long seed) {
    LoadReplay ours = burst(seed, false);
    LoadReplay plain = burst(seed, true);

    System.out.printf(
        "rare models in goal, seed %d: %.3f, by age %.3f; loads from the store %d, by age %d%n",
        seed, ours.rareInGoal(), plain.rareInGoal(), ours.storeLoads(), plain.storeLoads());
    assertTrue(ours.rareInGoal() >= FLOOR, "in goal " + ours.rareInGoal());
    assertTrue(ours.rareInGoal() >= plain.rareInGoal(), "by age " + plain.rareInGoal());
  }

  @Test
  @DisplayName("a model with a copy on a disk is not fetched from the weight store once more")
  void noFetchOfWhatIsAtHand() {
    LoadReplay replay = new LoadReplay(7, false);
    replay.play(20_000, 2, "hot", RARE_GOAL_MS);

    assertEquals(0, replay.storeLoads());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  @DisplayName("a model that many ask for of a sudden does not wait behind rare ones")
  void demandMoves(long seed) {
    LoadReplay replay = new LoadReplay(seed, false);
    replay.play(10_000, 6, "hot", RARE_GOAL_MS);
    replay.play(10_000, 6, "next", RARE_GOAL_MS);
    // The load in progress, a request that runs, an eviction, the own load, and time to count
    // callers until they are many.
    long bound = 1_000 + 400 + 200 + 1_000 + 500;

    assertTrue(
        replay.firstNextMs() <= bound, "first caller waited " + replay.firstNextMs() + " ms");
  }
}
