package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.message.PeerMessage.MemberState;

/** A member with what this VM observed of it. */
final class KnownMember {
  Member member;
  long heardMs;
  long goneMs;

  /** Times the newest knowledge was sent; a member is preferred for gossip while this is low. */
  int sent;

  /** Whether the platform's list has shown it; only then its absence from the list means gone. */
  boolean wasListed;

  /** Whether the platform's list has dropped it, which gossip does not undo. */
  boolean droppedFromList;

  KnownMember(Member member, long now) {
    this.member = member;
    heardMs = now;
  }

  MemberState state() {
    return member.state();
  }

  void become(MemberState state, long now) {
    if (member.state() == state) {
      return;
    }
    member = with(member, member.incarnation(), member.heartbeat(), state);
    goneMs = state == MemberState.GONE ? now : 0;
    sent = 0;
  }

  static Member with(Member m, long incarnation, long heartbeat, MemberState state) {
    return new Member(
        m.vm(),
        m.failureDomain(),
        m.address(),
        incarnation,
        heartbeat,
        state,
        m.configurationNumber());
  }

  /** Tells whether another description of the member is newer than the known one. */
  boolean isOlderThan(Member other) {
    return other.incarnation() != member.incarnation()
        ? other.incarnation() > member.incarnation()
        : other.heartbeat() > member.heartbeat();
  }
}
