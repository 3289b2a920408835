package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * One customer's rate over all VMs, as one VM sees it. Answers a customer that sends many times its
 * rate at many VMs at once: each VM charges a bucket of the whole rate with its own consumption and
 * with that of its peers as they tell it; the bucket may go into debt, so what was let through
 * between two messages is paid back. For VMs that are silent, equal shares are taken as consumed.
 */
public final class FleetQuota {
  private static final double MS_PER_SECOND = 1_000;

  /** Silence after which a peer's share of the rate is set aside, in ms, unless it is set. */
  public static final long SILENT_MS = 1_000;

  private final Map<String, Told> peers = new HashMap<>();
  private final long startMs;
  private long silentMs = SILENT_MS;
  private double ratePerS;
  private double burst;
  private double level;
  private double consumed;
  private long lastMs;

  /**
   * Creates a full bucket.
   *
   * @param ratePerS rate over all VMs
   * @param burst burst over all VMs
   * @param now present time, in ms
   */
  public FleetQuota(double ratePerS, double burst, long now) {
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.level = burst;
    this.lastMs = now;
    this.startMs = now;
  }

  private record Told(double total, long atMs) {}

  /**
   * Changes rate and burst.
   *
   * @param newRatePerS rate over all VMs
   * @param newBurst burst over all VMs
   * @param now present time, in ms
   */
  public void limits(double newRatePerS, double newBurst, long now) {
    accrue(now, 1);
    ratePerS = newRatePerS;
    burst = newBurst;
    level = Math.min(level, burst);
  }

  /**
   * Starts with only a share of the burst, for a VM that does not know what was consumed before.
   *
   * @param share share of the burst, 0 to 1
   */
  public void startWith(double share) {
    level = Math.min(level, burst * share);
  }

  /**
   * Charges a request if the rate allows it.
   *
   * @param cost cost of the request
   * @param share share of the rate that is this VM's and its audible peers', 0 to 1
   * @param now present time, in ms
   * @return whether it is allowed
   */
  public boolean tryTake(double cost, double share, long now) {
    if (ratePerS <= 0) {
      return true;
    }
    accrue(now, share);
    if (level < Math.min(cost, burst * share)) {
      return false;
    }
    level -= cost;
    consumed += cost;
    return true;
  }

  /**
   * Gives back the cost of a request that did not run.
   *
   * @param cost cost of the request
   */
  public void giveBack(double cost) {
    level = Math.min(burst, level + cost);
    consumed -= cost;
  }

  /**
   * Returns the time until a request is likely to be allowed.
   *
   * @param cost cost of the request
   * @param share share of the rate, as above
   * @return time in ms
   */
  public long waitMs(double cost, double share) {
    double missing = Math.min(cost, burst) - level;
    return ratePerS <= 0 ? 0 : (long) Math.ceil(missing * MS_PER_SECOND / (ratePerS * share));
  }

  /**
   * Takes what a peer has consumed since its start. What it consumed while it was not heard was
   * covered by the share that was set aside for it, and what it consumed before this VM started is
   * covered by the share of the burst that this VM started with.
   *
   * @param peer identity of the peer's process
   * @param total total consumption
   * @param now present time, in ms
   */
  public void peerConsumed(String peer, double total, long now) {
    Told before = peers.put(peer, new Told(total, now));
    if (before == null) {
      boolean older = now - startMs <= silentMs;
      level -= older ? 0 : Math.min(total, burst);
      return;
    }
    double heard = Math.min(1, (double) silentMs / Math.max(1, now - before.atMs()));
    level = Math.min(burst, level - (total - before.total()) * heard);
  }

  /**
   * Sets the silence after which a peer's share is set aside.
   *
   * @param ms time in ms, some times that between two messages of a peer
   */
  public void silentAfter(long ms) {
    silentMs = ms;
  }

  /** Forgets when peers were heard, after this VM was suspended and gained nothing meanwhile. */
  public void suspended() {
    peers.replaceAll((peer, told) -> new Told(told.total(), Long.MIN_VALUE / 2));
  }

  /**
   * Returns what is left in the bucket.
   *
   * @return level; negative if there is a debt
   */
  public double level() {
    return level;
  }

  /**
   * Returns what this VM has consumed since its start.
   *
   * @return total consumption
   */
  public double consumed() {
    return consumed;
  }

  private void accrue(long now, double share) {
    double cap = burst * share;
    double gained = (now - lastMs) * ratePerS * share / MS_PER_SECOND;
    // What exceeds the cap belongs to VMs that are not heard and may be spending it now.
    level = Math.min(cap, level + gained);
    lastMs = now;
  }
}
