package io.kumquatspindle.engine.placement;

/**
 * A loaded replica without running requests, which may be unloaded to free memory.
 *
 * @param replica the replica
 * @param idleMs time since its last use, in milliseconds
 * @param useProbability probability that it is used within the hour, from 0 to 1
 * @param reloadMs expected time to load it again, in milliseconds
 */
public record IdleReplica(Replica replica, long idleMs, double useProbability, long reloadMs) {}
