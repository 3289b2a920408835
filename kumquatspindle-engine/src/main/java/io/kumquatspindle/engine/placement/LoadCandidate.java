package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.EndpointName;

/**
 * An endpoint on which a demanded artifact could be loaded.
 *
 * @param endpoint the endpoint
 * @param checkpoint the nearest location of the artifact's checkpoint, relative to the endpoint
 * @param freeMb unreserved memory, in MB
 * @param unloadingMb memory of replicas that are being unloaded, in MB
 * @param evictableMb memory of idle replicas that may be evicted, in MB
 * @param expectedLoadMs expected load time including the wait for the weight store, in ms
 */
public record LoadCandidate(
    EndpointName endpoint,
    CheckpointLocation checkpoint,
    long freeMb,
    long unloadingMb,
    long evictableMb,
    long expectedLoadMs) {

  /** Location of a checkpoint, nearest first; policies compare locations by this order. */
  public enum CheckpointLocation {
    /** In the endpoint's memory. */
    MEMORY,
    /** On the endpoint's disk. */
    DISK,
    /** In the weight store only. */
    REMOTE
  }

  /**
   * Returns the memory that has to be freed by eviction, beyond the unloads already in progress.
   *
   * @param memoryMb required memory, in MB
   * @return the shortage, in MB, at least 0
   */
  public long shortageMb(long memoryMb) {
    return Math.max(0, memoryMb - freeMb - unloadingMb);
  }

  /**
   * Returns whether the memory is free now.
   *
   * @param memoryMb required memory, in MB
   * @return whether it fits without any unload
   */
  public boolean fits(long memoryMb) {
    return memoryMb <= freeMb;
  }

  /**
   * Returns whether the memory can be freed by evicting idle replicas.
   *
   * @param memoryMb required memory, in MB
   * @return whether it fits after eviction
   */
  public boolean fitsAfterEviction(long memoryMb) {
    return shortageMb(memoryMb) <= evictableMb;
  }
}
