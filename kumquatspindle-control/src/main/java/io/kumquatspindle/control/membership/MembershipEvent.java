package io.kumquatspindle.control.membership;

import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.GossipReply;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.platform.ListedVm;
import java.util.List;
import java.util.function.Consumer;

/** Events of the membership controller. */
sealed interface MembershipEvent {

  /** A round of gossip in this VM's failure domain is due. */
  record OwnDomainRound() implements MembershipEvent {}

  /** A round of gossip with another failure domain is due. */
  record OtherDomainRound() implements MembershipEvent {}

  /** A peer sent gossip; {@code reply} takes the answer. */
  record GossipReceived(Gossip gossip, long receivedAtMs, Consumer<GossipReply> reply)
      implements MembershipEvent {}

  /** A peer answered gossip that was sent at {@code askedAtMs}. */
  record ReplyReceived(Member peer, GossipReply reply, long requestedAtMs)
      implements MembershipEvent {}

  /** A peer did not answer gossip. */
  record NoReply(Member peer, String reason) implements MembershipEvent {}

  /** The platform's list was read. */
  record VmListUpdated(List<ListedVm> vms) implements MembershipEvent {}

  /** A ticket is in force at this VM. */
  record ConfigurationNumberChanged(long number) implements MembershipEvent {}

  /** This VM is about to stop. */
  record Leave(Runnable callback) implements MembershipEvent {}
}
