package io.kumquatspindle.engine.placement;

import java.util.List;
import java.util.Optional;

/**
 * Baseline policy for comparisons: chooses the first endpoint with free memory, otherwise the first
 * candidate. Evicts replicas in the order in which their loads were decided.
 */
public final class FirstFreePolicy implements PlacementPolicy {

  @Override
  public Optional<LoadCandidate> choose(long memoryMb, List<LoadCandidate> candidates) {
    return candidates.stream()
        .filter(c -> c.fits(memoryMb))
        .findFirst()
        .or(() -> candidates.stream().findFirst());
  }

  @Override
  public List<IdleReplica> evictionOrder(List<IdleReplica> idle) {
    return idle;
  }
}
