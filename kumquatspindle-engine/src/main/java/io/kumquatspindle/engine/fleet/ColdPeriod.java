package io.kumquatspindle.engine.fleet;

import java.util.OptionalDouble;

/**
 * The time after its start in which one endpoint handles only a few requests. It ends by this VM's
 * clock, so that an unavailable store does not prolong it. Entries are read some time after they
 * were written, so that it never ends here before it ends at the endpoint. Not thread-safe:
 * confined to one owner thread.
 */
final class ColdPeriod {
  /**
   * Time for which a peer's statement that an endpoint is cold is valid, in ms: the endpoint's own
   * entry is read within this time.
   */
  private static final long PEER_STATEMENT_VALID_MS = 1_500;

  private long untilMs = Long.MIN_VALUE;
  private boolean active;
  private double perS;

  /** Applies what the newest entry of the endpoint states. */
  void stated(long leftMs, long now) {
    active = leftMs > 0;
    untilMs = now + leftMs;
  }

  /** Applies that a VM which has read a newer entry knows the endpoint to be cold. */
  void statedByPeer(long now) {
    if (!active) {
      active = true;
      untilMs = now + PEER_STATEMENT_VALID_MS;
    }
  }

  /** Ends the period if its time is over, and returns whether it has ended by this. */
  boolean end(long now) {
    boolean ends = active && now >= untilMs;
    active = active && !ends;
    return ends;
  }

  /** Sets the requests a second that endpoints of its service handle while cold; 0: no bound. */
  void setPerS(double coldPerS) {
    perS = coldPerS;
  }

  /** Returns whether the endpoint is cold, and there is a bound for that. */
  boolean bounds() {
    return active && perS > 0;
  }

  /** Returns the lower one of the stated limit and the limit of a cold endpoint. */
  OptionalDouble limitPerS(OptionalDouble statedPerS) {
    return bounds() ? OptionalDouble.of(Math.min(perS, statedPerS.orElse(perS))) : statedPerS;
  }
}
