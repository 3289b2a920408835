package io.kumquatspindle.engine.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Prefers the nearest checkpoint, then free memory, then the lowest expected load time; unloads the
 * replica with the lowest expected cost of a reload per MB first.
 */
public final class CheckpointAwarePolicy implements PlacementPolicy {

  @Override
  public Optional<Candidate> choose(long memoryMb, List<Candidate> candidates) {
    return candidates.stream()
        .min(
            Comparator.comparing(Candidate::checkpoint)
                .thenComparing(c -> !c.fits(memoryMb))
                .thenComparing(c -> c.shortageMb(memoryMb) > 0)
                .thenComparing(Candidate::expectedLoadMs)
                .thenComparing(Candidate::endpoint));
  }

  @Override
  public List<IdleReplica> unloadOrder(List<IdleReplica> idle) {
    return idle.stream()
        .sorted(
            Comparator.comparingDouble(CheckpointAwarePolicy::reloadCost)
                .thenComparing(i -> i.replica().decision()))
        .toList();
  }

  private static double reloadCost(IdleReplica i) {
    return i.useProbability() * i.reloadMs() / i.replica().memoryMb();
  }
}
