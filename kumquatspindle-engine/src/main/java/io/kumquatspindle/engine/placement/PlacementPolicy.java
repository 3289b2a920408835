package io.kumquatspindle.engine.placement;

import java.util.List;
import java.util.Optional;

/** Policy for the endpoint of a load and for the eviction order of idle replicas. */
public interface PlacementPolicy {

  /**
   * Chooses the endpoint of a load.
   *
   * @param memoryMb memory that the artifact occupies, in MB
   * @param candidates endpoints with enough memory, possibly after evicting idle replicas; ordered
   *     by name
   * @return one of the candidates, or empty if none is acceptable
   */
  Optional<LoadCandidate> choose(long memoryMb, List<LoadCandidate> candidates);

  /**
   * Orders the idle replicas of one endpoint for eviction.
   *
   * @param idle the idle replicas, in order of their decisions
   * @return the same replicas, the first to evict first
   */
  List<IdleReplica> evictionOrder(List<IdleReplica> idle);
}
