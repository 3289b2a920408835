package io.kumquatspindle.engine.fleet;

/** Tracks which part of a customer's recent consumption over all VMs is this VM's. */
final class ConsumptionShare {
  /**
   * Time in which past consumption loses most of its weight, in ms; several times the age of
   * digests, so that the delay of the peers' figures hardly matters.
   */
  private static final double DECAY_MS = 4_000;

  private double own;
  private double peers;
  private long updatedMs;

  ConsumptionShare(long now) {
    updatedMs = now;
  }

  /** Adds consumption of this VM; negative for a refund. */
  void addOwn(double cost, long now) {
    decay(now);
    own = Math.max(0, own + cost);
  }

  /** Adds consumption of a peer; negative for a refund. */
  void addPeer(double cost, long now) {
    decay(now);
    peers = Math.max(0, peers + cost);
  }

  /** Returns the part of this VM, 0 to 1; 0 if nothing was consumed. */
  double own(long now) {
    decay(now);
    double total = own + peers;
    return total <= 0 ? 0 : own / total;
  }

  private void decay(long now) {
    double factor = Math.exp(-Math.max(0, now - updatedMs) / DECAY_MS);
    own *= factor;
    peers *= factor;
    updatedMs = Math.max(updatedMs, now);
  }
}
