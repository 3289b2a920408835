package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which partitions of endpoints this VM may order, and with which fencing number. A partition that
 * is gained may be used only after the time in which its holder before may still have ordered.
 */
public final class OrderLease {
  private final long ttlMs;
  private final long settleMs;
  private final boolean fenced;
  private final Map<Integer, Long> since = new HashMap<>();
  private final Set<Integer> outranked = new HashSet<>();
  private long generation;
  private long renewedMs = Long.MIN_VALUE / 2;
  private long renewedWallMs = Long.MIN_VALUE / 2;

  /**
   * Creates a lease that holds nothing.
   *
   * @param ttlMs time after the last renewal in which the group keeps a member, in ms
   * @param settleMs time between orders of two holders, in ms
   * @param fenced whether endpoints refuse lower fencing numbers, so that a holder that only lost
   *     the store may go on
   */
  public OrderLease(long ttlMs, long settleMs, boolean fenced) {
    this.ttlMs = ttlMs;
    this.settleMs = settleMs;
    this.fenced = fenced;
  }

  /**
   * Takes the answer to a renewal.
   *
   * @param sentMs when the renewal was sent, on the steady clock in ms
   * @param sentWallMs the same by the time of day
   * @param newGeneration generation of the group
   * @param partitions partitions that this VM holds
   * @param now present time, on the steady clock in ms
   */
  public void renewed(
      long sentMs, long sentWallMs, long newGeneration, Set<Integer> partitions, long now) {
    if (newGeneration < generation) {
      return;
    }
    if (newGeneration > generation) {
      outranked.clear();
    }
    generation = newGeneration;
    renewedMs = sentMs;
    renewedWallMs = sentWallMs;
    since.keySet().retainAll(partitions);
    partitions.forEach(p -> since.putIfAbsent(p, now));
  }

  /** Gives up all partitions; the next renewal gains them anew. */
  public void drop() {
    since.clear();
  }

  /**
   * Notes that an endpoint has seen a higher fencing number than this VM's.
   *
   * @param partition partition of the endpoint
   */
  public void outranked(int partition) {
    outranked.add(partition);
    since.remove(partition);
  }

  /**
   * Tells whether this VM holds a partition, though perhaps may not order yet.
   *
   * @param partition the partition
   * @return whether it holds it
   */
  public boolean holds(int partition) {
    return since.containsKey(partition);
  }

  /**
   * Tells whether orders may be sent.
   *
   * @param partition partition of the endpoint
   * @param now present time, on the steady clock in ms
   * @param wallNow present time of day, in ms
   * @return whether they may
   */
  public boolean mayOrder(int partition, long now, long wallNow) {
    Long from = since.get(partition);
    if (from == null || now - from < settleMs || outranked.contains(partition)) {
      return false;
    }
    return fenced || Math.max(now - renewedMs, wallNow - renewedWallMs) < ttlMs;
  }

  /**
   * Returns the fencing number.
   *
   * @return generation of the group
   */
  public long fence() {
    return generation;
  }

  /**
   * Returns the partitions that this VM holds.
   *
   * @return partitions
   */
  public Set<Integer> held() {
    return Set.copyOf(since.keySet());
  }

  /**
   * Takes what another VM of the group holds; what it holds by a later generation is not held here.
   *
   * @param otherGeneration generation of the other VM
   * @param partitions partitions that it holds
   */
  public void othersHold(long otherGeneration, Set<Integer> partitions) {
    if (otherGeneration > generation) {
      since.keySet().removeAll(partitions);
    }
  }

  public int size() {
    return since.size();
  }
}
