package io.kumquatspindle.control.membership;

import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Set;

/** The rest of the control program as gossip needs it. Called on the membership thread. */
public interface GossipDelegate {

  /**
   * Builds a message.
   *
   * @param members members to carry
   * @return the message with this VM's offsets and reports
   */
  Gossip buildMessage(List<Member> members);

  /**
   * Takes what a peer said about streams and endpoints.
   *
   * @param address the peer's address; empty if it is not known
   * @param gossip what it said
   * @param receivedAtMs when it arrived, on the monotonic clock
   */
  void gossipReceived(String address, Gossip gossip, long receivedAtMs);

  /**
   * Takes how recently a peer was confirmed up to date.
   *
   * @param gossip what it answered
   * @param requestedAtMs when it was asked, on the monotonic clock
   */
  void peerFreshnessReceived(Gossip gossip, long requestedAtMs);

  /**
   * Takes the platform's list.
   *
   * @param listed the VMs that it shows
   * @param removed VMs that it shows no longer
   */
  void vmListUpdated(Set<VmId> listed, Set<VmId> removed);

  /** Notes that the published members have changed. */
  void membersChanged();
}
