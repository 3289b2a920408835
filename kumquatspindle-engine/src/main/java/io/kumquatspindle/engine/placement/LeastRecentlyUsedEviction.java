package io.kumquatspindle.engine.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Baseline policy for comparisons: evicts the least recently used replica first. */
public final class LeastRecentlyUsedEviction implements PlacementPolicy {
  private final PlacementPolicy endpointPolicy;

  /**
   * Creates a policy that delegates the choice of endpoints.
   *
   * @param endpointPolicy the policy that chooses endpoints
   */
  public LeastRecentlyUsedEviction(PlacementPolicy endpointPolicy) {
    this.endpointPolicy = Objects.requireNonNull(endpointPolicy, "endpointPolicy");
  }

  @Override
  public Optional<LoadCandidate> choose(long memoryMb, List<LoadCandidate> candidates) {
    return endpointPolicy.choose(memoryMb, candidates);
  }

  @Override
  public List<IdleReplica> evictionOrder(List<IdleReplica> idle) {
    return idle.stream()
        .sorted(
            Comparator.comparingLong(IdleReplica::idleMs)
                .reversed()
                .thenComparing(i -> i.replica().decision()))
        .toList();
  }
}
