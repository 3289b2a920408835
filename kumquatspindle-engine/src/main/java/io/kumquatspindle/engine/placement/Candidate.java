package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.EndpointName;

/**
 * An endpoint on which a wanted artifact could be loaded.
 *
 * @param endpoint the endpoint
 * @param checkpoint where the artifact's checkpoint is, seen from the endpoint
 * @param freeMb memory that is not reserved, in MB
 * @param freeingMb memory of replicas whose unload is decided, in MB
 * @param idleMb memory of idle replicas that could be unloaded, in MB
 * @param expectedLoadMs expected time of the load including its wait for the weight store, in ms
 */
public record Candidate(
    EndpointName endpoint,
    Checkpoint checkpoint,
    long freeMb,
    long freeingMb,
    long idleMb,
    long expectedLoadMs) {

  /** Where a checkpoint is, in order of preference. */
  public enum Checkpoint {
    /** In the endpoint's memory. */
    MEMORY,
    /** On the endpoint's disk. */
    DISK,
    /** In the weight store only. */
    REMOTE
  }

  /**
   * Returns the memory of replicas that have to be unloaded in addition to those being unloaded.
   *
   * @param memoryMb memory that is needed, in MB
   * @return the shortage, in MB, at least 0
   */
  public long shortageMb(long memoryMb) {
    return Math.max(0, memoryMb - freeMb - freeingMb);
  }

  /**
   * Tells whether the memory is free now.
   *
   * @param memoryMb memory that is needed, in MB
   * @return whether it fits without any unload
   */
  public boolean fits(long memoryMb) {
    return memoryMb <= freeMb;
  }

  /**
   * Tells whether the memory can be made free.
   *
   * @param memoryMb memory that is needed, in MB
   * @return whether it fits after unloading idle replicas
   */
  public boolean canFit(long memoryMb) {
    return shortageMb(memoryMb) <= idleMb;
  }
}
