package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.message.PeerMessage.MemberState;

/** The state that a VM tracks for one other VM. */
final class MemberEntry {
  Member member;
  long stateSinceMs;
  long lastHeardMs;
  boolean listed;
  int transmissionsLeft;

  MemberEntry(Member member, long nowMs, int transmissions) {
    this.member = member;
    this.stateSinceMs = nowMs;
    this.lastHeardMs = nowMs;
    this.transmissionsLeft = transmissions;
  }

  void update(Member m, long nowMs, int transmissions) {
    if (m.state() != member.state()) {
      stateSinceMs = nowMs;
    }
    member = m;
    transmissionsLeft = transmissions;
  }

  void updateState(MemberState state, long nowMs, int transmissions) {
    Member m = member;
    update(
        new Member(
            m.vm(),
            m.failureDomain(),
            m.address(),
            m.incarnation(),
            m.heartbeat(),
            state,
            m.configurationNumber()),
        nowMs,
        transmissions);
  }
}
