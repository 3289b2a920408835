package io.kumquatspindle.engine.quota;

/**
 * Times of a {@link QuotaController}, in milliseconds. All VMs need the same values of the first
 * two.
 *
 * @param grantValidMs how long entry may admit requests against granted tokens, from the time it
 *     asked for them; later it drops them
 * @param transferValidMs how long a peer may use transferred tokens, from the time it asked for
 *     them, until the last grant from them has ended
 * @param keepDemandMs how much of its own demand a giver keeps for itself and an asker asks for in
 *     addition, and how long peers are left alone after they had too little
 * @param demandMs time constant of the average of demand
 * @param peerTimeoutMs wait for a peer's answer
 * @param peersAsked most peers that are asked for one need
 * @param retryMs wait before a rejected append is tried again
 */
public record QuotaSettings(
    long grantValidMs,
    long transferValidMs,
    long keepDemandMs,
    long demandMs,
    long peerTimeoutMs,
    int peersAsked,
    long retryMs) {

  /** Settings for production. */
  public static final QuotaSettings DEFAULT = new QuotaSettings(300, 700, 250, 1_000, 50, 4, 500);

  // Clocks of two VMs may run at slightly different speeds, so the giver waits longer than the
  // receiver by this part of the time.
  private static final int DRIFT_PART = 20;

  /** Checks that transferred tokens can be granted before they end. */
  public QuotaSettings {
    if (grantValidMs <= 0 || transferValidMs <= grantValidMs) {
      throw new IllegalArgumentException(
          "need 0 < grantValidMs < transferValidMs but were "
              + grantValidMs
              + ", "
              + transferValidMs);
    }
  }

  /** Returns how long the control that granted tokens counts them as held by entry. */
  long heldMs() {
    return grantValidMs + grantValidMs / DRIFT_PART;
  }

  /** Returns how long a giver counts the tokens that it has transferred. */
  long lentMs() {
    return transferValidMs + transferValidMs / DRIFT_PART;
  }

  /** Returns how long a receiver may grant from transferred tokens, from the time it asked. */
  long borrowedMs() {
    return transferValidMs - heldMs();
  }
}
