package io.kumquatspindle.engine.placement;

import java.util.List;

/**
 * The complete state of a {@link PlacementStateMachine}, for snapshots.
 *
 * @param nextOffset offset of the next record to apply
 * @param timeMs latest log time of the applied records, in milliseconds since the epoch
 * @param configurationNumber highest configuration number of an accepted load
 * @param storeNextMicros earliest log time at which the rate limit admits the next store load, in
 *     microseconds since the epoch
 * @param replicas all replicas, in order of their decisions
 */
public record PlacementState(
    long nextOffset,
    long timeMs,
    long configurationNumber,
    long storeNextMicros,
    List<Replica> replicas) {

  /** Makes a defensive copy of the list; a missing one is replaced by an empty one. */
  public PlacementState {
    replicas = replicas == null ? List.of() : List.copyOf(replicas);
  }
}
