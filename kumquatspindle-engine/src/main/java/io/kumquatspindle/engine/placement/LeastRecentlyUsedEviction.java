package io.kumquatspindle.engine.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Baseline for comparisons: unloads the replica that has been idle longest. */
public final class LeastRecentlyUsedEviction implements PlacementPolicy {
  private final PlacementPolicy endpoints;

  /**
   * Returns a policy that takes the choice of endpoints from another policy.
   *
   * @param endpoints chooses endpoints
   */
  public LeastRecentlyUsedEviction(PlacementPolicy endpoints) {
    this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
  }

  @Override
  public Optional<Candidate> choose(long memoryMb, List<Candidate> candidates) {
    return endpoints.choose(memoryMb, candidates);
  }

  @Override
  public List<IdleReplica> unloadOrder(List<IdleReplica> idle) {
    return idle.stream()
        .sorted(
            Comparator.comparingLong(IdleReplica::idleMs)
                .reversed()
                .thenComparing(i -> i.replica().decision()))
        .toList();
  }
}
