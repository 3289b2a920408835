package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Token bucket that limits the rate of one customer across all VMs, as seen by one VM. Handles a
 * customer that sends many times its rate to many VMs concurrently: each VM charges a bucket for
 * the full rate with its own consumption and with the consumption reported by its peers. The level
 * may become negative, so that requests admitted between two peer messages are compensated later.
 * For VMs that do not report, an equal share of the rate is assumed to be consumed.
 */
public final class DistributedTokenBucket {
  private static final double MS_PER_SECOND = 1_000;

  /**
   * Default time without a message after which a peer's share of the rate is reserved for it, in
   * ms.
   */
  public static final long DEFAULT_PEER_TIMEOUT_MS = 1_000;

  private final Map<String, PeerTotal> peers = new HashMap<>();
  private final ConsumptionShare recent;
  private final long startMs;
  private long peerTimeoutMs = DEFAULT_PEER_TIMEOUT_MS;
  private double ratePerS;
  private double burst;
  private double level;
  private double consumed;
  private long lastRefillMs;

  /**
   * Creates a full bucket.
   *
   * @param ratePerS rate across all VMs, per second
   * @param burst burst across all VMs
   * @param now current time, in ms
   */
  public DistributedTokenBucket(double ratePerS, double burst, long now) {
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.level = burst;
    this.lastRefillMs = now;
    this.startMs = now;
    this.recent = new ConsumptionShare(now);
  }

  private record PeerTotal(double total, long atMs) {}

  /**
   * Changes the rate and the burst.
   *
   * @param newRatePerS rate across all VMs, per second
   * @param newBurst burst across all VMs
   * @param now current time, in ms
   */
  public void setLimits(double newRatePerS, double newBurst, long now) {
    refill(now, 1);
    ratePerS = newRatePerS;
    burst = newBurst;
    level = Math.min(level, burst);
  }

  /**
   * Limits the initial level to a share of the burst, for a VM that does not know the previous
   * consumption.
   *
   * @param share share of the burst, 0 to 1
   */
  public void limitInitialLevel(double share) {
    level = Math.min(level, burst * share);
  }

  /**
   * Charges a request if the level permits it.
   *
   * @param cost cost of the request
   * @param share share of the rate available to this VM and its reachable peers, 0 to 1
   * @param now current time, in ms
   * @return whether the request is admitted
   */
  public boolean tryConsume(double cost, double share, long now) {
    if (ratePerS <= 0) {
      return true;
    }
    refill(now, share);
    if (level < Math.min(cost, burst * share)) {
      return false;
    }
    consume(cost, now);
    return true;
  }

  /**
   * Charges a request that has waited for the rate if the bucket is not in debt. The request may
   * cost more than the level: otherwise requests of low cost at other VMs, which need a lower
   * level, would hold back one of high cost for ever. The debt is repaid before the next release.
   *
   * @param cost cost of the request
   * @param share share of the rate available to this VM and its reachable peers, 0 to 1
   * @param now current time, in ms
   * @return whether the request is admitted
   */
  public boolean tryConsumeWaiting(double cost, double share, long now) {
    if (ratePerS <= 0) {
      return true;
    }
    refill(now, share);
    if (level <= 0) {
      return false;
    }
    consume(cost, now);
    return true;
  }

  private void consume(double cost, long now) {
    level -= cost;
    consumed += cost;
    recent.addOwn(cost, now);
  }

  /**
   * Refunds the cost of a request that did not run.
   *
   * @param cost cost of the request
   */
  public void refund(double cost) {
    level = Math.min(burst, level + cost);
    consumed -= cost;
    recent.addOwn(-cost, lastRefillMs);
  }

  /**
   * Records the consumption reported by a peer. What the peer consumed while it was unreachable was
   * covered by the share reserved for it, and what it consumed before this VM started is covered by
   * the limited initial level of this VM.
   *
   * @param peer ID of the peer process
   * @param total total consumption of the peer since its start
   * @param now current time, in ms
   */
  public void recordPeerConsumption(String peer, double total, long now) {
    PeerTotal before = peers.put(peer, new PeerTotal(total, now));
    if (before == null) {
      boolean startingUp = now - startMs <= peerTimeoutMs;
      level -= startingUp ? 0 : Math.min(total, burst);
      return;
    }
    recent.addPeer(total - before.total(), now);
    double observedShare = Math.min(1, (double) peerTimeoutMs / Math.max(1, now - before.atMs()));
    level = Math.min(burst, level - (total - before.total()) * observedShare);
  }

  /**
   * Sets the time without a message after which a peer's share is reserved for it.
   *
   * @param timeoutMs time in ms; should be a multiple of the interval between messages of a peer
   */
  public void setPeerTimeout(long timeoutMs) {
    peerTimeoutMs = timeoutMs;
  }

  /**
   * Resets the times of the last peer reports, after a suspension of this VM during which the
   * bucket was not refilled.
   */
  public void forgetPeerTimes() {
    peers.replaceAll((peer, previous) -> new PeerTotal(previous.total(), Long.MIN_VALUE / 2));
  }

  /**
   * Returns the current level of the bucket.
   *
   * @return the level; negative if more was consumed than the rate allows
   */
  public double level() {
    return level;
  }

  /**
   * Returns the level after a refill.
   *
   * @param share share of the rate available to this VM and its reachable peers, 0 to 1
   * @param now current time, in ms
   * @return the level; negative if more was consumed than the rate allows
   */
  public double level(double share, long now) {
    refill(now, share);
    return level;
  }

  /**
   * Returns the rate.
   *
   * @return rate across all VMs, per second; 0 if it is unlimited
   */
  public double ratePerS() {
    return ratePerS;
  }

  /**
   * Returns which part of the customer's recent consumption is this VM's, as far as its peers have
   * reported theirs.
   *
   * @param now current time, in ms
   * @return the part, 0 to 1
   */
  public double recentOwnPart(long now) {
    return recent.own(now);
  }

  /**
   * Returns the consumption of this VM since its start.
   *
   * @return total consumption
   */
  public double consumed() {
    return consumed;
  }

  private void refill(long now, double share) {
    double cap = burst * share;
    double gained = (now - lastRefillMs) * ratePerS * share / MS_PER_SECOND;
    // The excess over the cap belongs to unreachable VMs, which may be consuming it now.
    level = Math.min(cap, level + gained);
    lastRefillMs = now;
  }
}
