package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the partitions of endpoints to which this VM may send orders, and its fencing number. An
 * acquired partition may be used only after a delay during which the previous owner may still have
 * sent orders.
 */
public final class OrderLease {
  private final long ttlMs;
  private final long handoverDelayMs;
  private final boolean fencingEnforced;
  private final Map<Integer, Long> acquiredMs = new HashMap<>();
  private final Set<Integer> fencedPartitions = new HashSet<>();
  private final Set<Integer> retainedPartitions = new HashSet<>();
  private GroupGeneration generation = GroupGeneration.NONE;
  private long renewedMs = Long.MIN_VALUE / 2;
  private long renewedWallMs = Long.MIN_VALUE / 2;

  /**
   * Creates a lease without partitions.
   *
   * @param ttlMs time after the last renewal for which the group retains a member, in ms
   * @param handoverDelayMs minimum time between the orders of two successive owners, in ms
   * @param fencingEnforced whether endpoints reject lower fencing numbers, so that an owner that
   *     has only lost its connection to the store may continue
   */
  public OrderLease(long ttlMs, long handoverDelayMs, boolean fencingEnforced) {
    this.ttlMs = ttlMs;
    this.handoverDelayMs = handoverDelayMs;
    this.fencingEnforced = fencingEnforced;
  }

  /**
   * Handles that the group assigned partitions to this VM when its program started, so that they
   * are its own since before the restart. No other VM can have sent orders meanwhile, and the first
   * renewal acquires them without a delay.
   *
   * @param partitions partitions assigned to this VM before its first renewal
   */
  public void retain(Set<Integer> partitions) {
    retainedPartitions.addAll(partitions);
  }

  /** Handles that the assignment since before a restart may no longer be the last one. */
  public void discardRetained() {
    retainedPartitions.clear();
  }

  /**
   * Handles the response to a renewal. In a new era the group may assign a partition to a VM that
   * did not own it last. A VM that has owned it without a gap keeps it; any other one waits as
   * after each acquisition.
   *
   * @param sentMs when the renewal was sent, on the monotonic clock in ms
   * @param sentWallMs the same, on the wall clock in ms
   * @param newGeneration generation of the group
   * @param partitions partitions assigned to this VM
   * @param now current time of the monotonic clock, in ms
   */
  public void renewed(
      long sentMs,
      long sentWallMs,
      GroupGeneration newGeneration,
      Set<Integer> partitions,
      long now) {
    int order = newGeneration.compareTo(generation);
    if (order < 0) {
      return;
    }
    if (order > 0) {
      fencedPartitions.clear();
    }
    if (newGeneration.era() > generation.era() && !ownedWithoutGap(sentMs, sentWallMs, now)) {
      acquiredMs.clear();
    }
    generation = newGeneration;
    renewedMs = sentMs;
    renewedWallMs = sentWallMs;
    acquiredMs.keySet().retainAll(partitions);
    for (int p : partitions) {
      acquiredMs.putIfAbsent(p, retainedPartitions.contains(p) ? now - handoverDelayMs : now);
    }
    retainedPartitions.clear();
  }

  /**
   * Returns whether no other VM can have sent orders since the last renewal: one that acquired a
   * partition right after it would still be waiting.
   */
  private boolean ownedWithoutGap(long sentMs, long sentWallMs, long now) {
    long responseMs = now - sentMs;
    long gapMs = responseMs + Math.max(sentMs - renewedMs, sentWallMs - renewedWallMs);
    return gapMs < handoverDelayMs;
  }

  /** Releases all partitions, until the next renewal acquires them again. */
  public void releaseAll() {
    acquiredMs.clear();
  }

  /**
   * Records that an endpoint has seen a higher fencing number, and releases its partition until the
   * next generation.
   *
   * @param partition partition of the endpoint
   */
  public void markFenced(int partition) {
    fencedPartitions.add(partition);
    acquiredMs.remove(partition);
  }

  /**
   * Returns whether this VM owns a partition, even if it may not send orders yet.
   *
   * @param partition the partition
   * @return whether it owns the partition
   */
  public boolean holds(int partition) {
    return acquiredMs.containsKey(partition);
  }

  /**
   * Returns whether orders may be sent.
   *
   * @param partition partition of the endpoint
   * @param now current time of the monotonic clock, in ms
   * @param wallNow current wall-clock time, in ms
   * @return whether this VM may send orders
   */
  public boolean mayOrder(int partition, long now, long wallNow) {
    Long acquired = acquiredMs.get(partition);
    if (acquired == null
        || now - acquired < handoverDelayMs
        || fencedPartitions.contains(partition)) {
      return false;
    }
    return fencingEnforced || Math.max(now - renewedMs, wallNow - renewedWallMs) < ttlMs;
  }

  /**
   * Returns the generation of the last renewal.
   *
   * @return the generation, with its era
   */
  public GroupGeneration generation() {
    return generation;
  }

  /**
   * Returns the fencing number, which identifies the generation of the last renewal.
   *
   * @return the fencing number
   */
  public long fencingNumber() {
    return generation.fencingNumber();
  }

  /**
   * Returns the partitions that this VM owns.
   *
   * @return the owned partitions
   */
  public Set<Integer> held() {
    return Set.copyOf(acquiredMs.keySet());
  }

  /**
   * Handles the partitions reported by another VM of the group, and releases those that it owns in
   * a later generation.
   *
   * @param peerFencingNumber fencing number of the other VM
   * @param partitions partitions that the other VM owns
   */
  public void releaseHeldByPeer(long peerFencingNumber, Set<Integer> partitions) {
    if (peerFencingNumber > fencingNumber()) {
      acquiredMs.keySet().removeAll(partitions);
    }
  }

  public int size() {
    return acquiredMs.size();
  }
}
