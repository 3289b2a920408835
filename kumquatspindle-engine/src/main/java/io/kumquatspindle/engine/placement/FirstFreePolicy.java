package io.kumquatspindle.engine.placement;

import java.util.List;
import java.util.Optional;

/**
 * Baseline for comparisons: the first endpoint with free memory, otherwise the first one; unloads
 * the replica that was loaded first.
 */
public final class FirstFreePolicy implements PlacementPolicy {

  @Override
  public Optional<Candidate> choose(long memoryMb, List<Candidate> candidates) {
    return candidates.stream()
        .filter(c -> c.fits(memoryMb))
        .findFirst()
        .or(() -> candidates.stream().findFirst());
  }

  @Override
  public List<IdleReplica> unloadOrder(List<IdleReplica> idle) {
    return idle;
  }
}
