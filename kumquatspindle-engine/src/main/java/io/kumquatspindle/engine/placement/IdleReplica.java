package io.kumquatspindle.engine.placement;

/**
 * A loaded replica without running requests, which may be evicted to free memory.
 *
 * @param replica the replica
 * @param idleMs time since its last use, in milliseconds
 * @param useProbability probability of a use within the next hour, from 0 to 1
 * @param reloadMs expected reload time, in milliseconds
 */
public record IdleReplica(Replica replica, long idleMs, double useProbability, long reloadMs) {}
