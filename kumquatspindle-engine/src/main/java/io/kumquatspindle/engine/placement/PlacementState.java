package io.kumquatspindle.engine.placement;

import java.util.List;

/**
 * The complete state of a {@link PlacementFold}, for snapshots.
 *
 * @param nextOffset offset of the next record to apply
 * @param timeMs latest log time seen, in milliseconds since the epoch
 * @param configurationNumber highest configuration number of an accepted load
 * @param storeNextMicros log time from which the next store load fits, in microseconds since the
 *     epoch
 * @param replicas all replicas, in order of their decisions
 */
public record PlacementState(
    long nextOffset,
    long timeMs,
    long configurationNumber,
    long storeNextMicros,
    List<Replica> replicas) {

  /** Copies the list. */
  public PlacementState {
    replicas = replicas == null ? List.of() : List.copyOf(replicas);
  }
}
