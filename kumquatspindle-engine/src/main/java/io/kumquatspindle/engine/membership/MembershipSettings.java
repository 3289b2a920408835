package io.kumquatspindle.engine.membership;

/**
 * Times and sizes of {@link Membership}; times in milliseconds.
 *
 * @param heartbeatMs interval at which a member raises its heartbeat
 * @param suspectMs age of the last heartbeat from which a member of a small fleet is suspected
 * @param smallFleet number of members up to which {@code suspectMs} applies; the limit grows in
 *     proportion beyond it, since a gossip message carries a bounded number of members
 * @param deltaMembers most members in one gossip message
 * @param forgetMs how long a member that is gone is remembered, so that late gossip does not bring
 *     it back
 */
public record MembershipSettings(
    long heartbeatMs, long suspectMs, int smallFleet, int deltaMembers, long forgetMs) {

  /** Settings for production. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 3_000, 16, 16, 600_000);

  /** Checks the sizes. */
  public MembershipSettings {
    if (smallFleet < 1 || deltaMembers < 2) {
      throw new IllegalArgumentException(
          "need smallFleet >= 1 and deltaMembers >= 2 but were "
              + smallFleet
              + ", "
              + deltaMembers);
    }
  }

  long suspectMs(int members) {
    return suspectMs * Math.max(smallFleet, members) / smallFleet;
  }
}
