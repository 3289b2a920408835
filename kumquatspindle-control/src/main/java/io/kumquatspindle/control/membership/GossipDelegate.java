package io.kumquatspindle.control.membership;

import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Set;

/**
 * Supplies the application data of gossip messages and receives that of peers. Called on the
 * membership controller's thread.
 */
public interface GossipDelegate {

  /**
   * Builds a gossip message.
   *
   * @param members members to include
   * @return a message with the members and this VM's stream offsets and endpoint reports
   */
  Gossip buildMessage(List<Member> members);

  /**
   * Handles a peer's stream offsets and endpoint reports.
   *
   * @param address the peer's address; empty if it is not known
   * @param gossip the peer's message
   * @param receivedAtMs when the message was received, on the monotonic clock; for a reply, when
   *     the request was sent
   */
  void gossipReceived(String address, Gossip gossip, long receivedAtMs);

  /**
   * Handles the freshness of a peer's configuration, reported in reply to a request.
   *
   * @param gossip the peer's reply
   * @param requestedAtMs when the request was sent, on the monotonic clock
   */
  void peerFreshnessReceived(Gossip gossip, long requestedAtMs);

  /**
   * Handles a new state of the platform's VM list.
   *
   * @param listed the VMs on the list
   * @param removed VMs that are no longer on the list
   */
  void vmListUpdated(Set<VmId> listed, Set<VmId> removed);

  /** Called when the set of live members has changed. */
  void membersChanged();
}
