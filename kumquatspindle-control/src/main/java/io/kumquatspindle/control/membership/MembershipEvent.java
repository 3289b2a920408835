package io.kumquatspindle.control.membership;

import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.GossipReply;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.platform.ListedVm;
import java.util.List;
import java.util.function.Consumer;

/** Events of the membership controller. */
sealed interface MembershipEvent {

  /** A gossip round within this VM's failure domain is due. */
  record OwnDomainRound() implements MembershipEvent {}

  /** A gossip round with another failure domain is due. */
  record OtherDomainRound() implements MembershipEvent {}

  /** A peer sent a gossip message; {@code reply} receives the reply. */
  record GossipReceived(Gossip gossip, long receivedAtMs, Consumer<GossipReply> reply)
      implements MembershipEvent {}

  /** A peer replied to the gossip message that was sent at {@code requestedAtMs}. */
  record ReplyReceived(Member peer, GossipReply reply, long requestedAtMs)
      implements MembershipEvent {}

  /** A peer did not reply to a gossip message. */
  record NoReply(Member peer, String reason) implements MembershipEvent {}

  /** The platform's VM list was read. */
  record VmListUpdated(List<ListedVm> vms) implements MembershipEvent {}

  /** A ticket was applied at this VM. */
  record ConfigurationNumberChanged(long number) implements MembershipEvent {}

  /** This VM is about to stop. */
  record Leave(Runnable callback) implements MembershipEvent {}
}
