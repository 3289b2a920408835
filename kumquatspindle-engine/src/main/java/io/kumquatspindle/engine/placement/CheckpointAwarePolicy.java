package io.kumquatspindle.engine.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Prefers endpoints with the nearest checkpoint, then with free memory, then with the lowest
 * expected load time. Evicts the replica with the lowest expected reload cost per MB first.
 */
public final class CheckpointAwarePolicy implements PlacementPolicy {

  @Override
  public Optional<LoadCandidate> choose(long memoryMb, List<LoadCandidate> candidates) {
    return candidates.stream()
        .min(
            Comparator.comparing(LoadCandidate::checkpoint)
                .thenComparing(c -> !c.fits(memoryMb))
                .thenComparing(c -> c.shortageMb(memoryMb) > 0)
                .thenComparing(LoadCandidate::expectedLoadMs)
                .thenComparing(LoadCandidate::endpoint));
  }

  @Override
  public List<IdleReplica> evictionOrder(List<IdleReplica> idle) {
    return idle.stream()
        .sorted(
            Comparator.comparingDouble(CheckpointAwarePolicy::reloadCostPerMb)
                .thenComparing(i -> i.replica().decision()))
        .toList();
  }

  private static double reloadCostPerMb(IdleReplica i) {
    return i.useProbability() * i.reloadMs() / i.replica().memoryMb();
  }
}
