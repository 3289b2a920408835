package io.kumquatspindle.engine.placement;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint of a load and the replicas to unload first. */
public interface PlacementPolicy {

  /**
   * Chooses the endpoint of a load.
   *
   * @param memoryMb memory that the artifact takes, in MB
   * @param candidates endpoints that can take it, possibly after unloading idle replicas; in order
   *     of their names
   * @return one of the candidates, or empty if none is acceptable
   */
  Optional<Candidate> choose(long memoryMb, List<Candidate> candidates);

  /**
   * Orders idle replicas of one endpoint for unloading.
   *
   * @param idle the idle replicas, in order of their decisions
   * @return the same replicas, the first to unload first
   */
  List<IdleReplica> unloadOrder(List<IdleReplica> idle);
}
