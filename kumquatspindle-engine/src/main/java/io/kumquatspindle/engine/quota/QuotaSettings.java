package io.kumquatspindle.engine.quota;

/**
 * Timing and limits of a {@link QuotaController}. Times are in milliseconds. All VMs must have the
 * same values of {@code grantValidMs} and {@code transferValidMs}.
 *
 * @param grantValidMs how long entry may admit requests against granted tokens, from the time of
 *     its request; it discards them afterwards
 * @param transferValidMs lifetime of transferred tokens, from the time of the peer's request until
 *     the last grant made from them expires
 * @param demandReserveMs time for which a lender reserves tokens for its own demand and a borrower
 *     requests tokens in advance; also the wait before the next search after the peers had too few
 * @param demandAveragingMs time constant of the moving average of demand
 * @param peerTimeoutMs time limit for a peer's reply
 * @param maxPeersAsked limit on the peers asked in one search
 * @param retryMs wait before an append that failed is retried
 */
public record QuotaSettings(
    long grantValidMs,
    long transferValidMs,
    long demandReserveMs,
    long demandAveragingMs,
    long peerTimeoutMs,
    int maxPeersAsked,
    long retryMs) {

  /** Default settings, used in production. */
  public static final QuotaSettings DEFAULT = new QuotaSettings(300, 700, 250, 1_000, 50, 4, 500);

  // The clocks of two VMs may run at slightly different speeds, so the lender waits longer than the
  // borrower by one part in this many.
  private static final int CLOCK_DRIFT_DIVISOR = 20;

  /** Checks that transferred tokens can still be granted before they expire. */
  public QuotaSettings {
    if (grantValidMs <= 0 || transferValidMs <= grantValidMs) {
      throw new IllegalArgumentException(
          "expected 0 < grantValidMs < transferValidMs but got "
              + grantValidMs
              + ", "
              + transferValidMs);
    }
  }

  /** Returns how long granted tokens count against the share of the VM that granted them. */
  long grantCountedMs() {
    return grantValidMs + grantValidMs / CLOCK_DRIFT_DIVISOR;
  }

  /** Returns how long transferred tokens count against the lender's share. */
  long transferCountedMs() {
    return transferValidMs + transferValidMs / CLOCK_DRIFT_DIVISOR;
  }

  /** Returns how long a borrower may grant transferred tokens, from the time of its request. */
  long borrowedUsableMs() {
    return transferValidMs - grantCountedMs();
  }
}
