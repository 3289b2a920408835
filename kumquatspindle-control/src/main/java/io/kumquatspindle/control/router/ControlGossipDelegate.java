package io.kumquatspindle.control.router;

import io.kumquatspindle.api.message.PeerMessage.AgedReport;
import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.control.config.ConfigurationController;
import io.kumquatspindle.control.membership.GossipDelegate;
import io.kumquatspindle.control.placement.EndpointReportCache;
import io.kumquatspindle.control.placement.PlacementController;
import io.kumquatspindle.control.state.StreamOwner;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Adds this VM's stream offsets and endpoint reports to gossip messages, and passes those of peers
 * on to the controllers.
 */
public final class ControlGossipDelegate implements GossipDelegate {
  private final ConfigurationController configuration;
  private final PlacementController placement;
  private final StreamOwner shares;
  private final EndpointReportCache reports;
  private final StreamSync streams;
  private final Runnable onMembersChanged;
  private final Consumer<Set<VmId>> onVmsListed;

  /**
   * Creates a delegate.
   *
   * @param configuration the configuration controller
   * @param placement the placement controller
   * @param shares owner of the shares stream
   * @param reports the reports of endpoints
   * @param streams requests missing records from peers
   * @param onMembersChanged called when the live members have changed
   * @param onVmsListed receives the VMs on the platform's VM list
   */
  public ControlGossipDelegate(
      ConfigurationController configuration,
      PlacementController placement,
      StreamOwner shares,
      EndpointReportCache reports,
      StreamSync streams,
      Runnable onMembersChanged,
      Consumer<Set<VmId>> onVmsListed) {
    this.configuration = configuration;
    this.placement = placement;
    this.shares = shares;
    this.reports = reports;
    this.streams = streams;
    this.onMembersChanged = onMembersChanged;
    this.onVmsListed = onVmsListed;
  }

  @Override
  public Gossip buildMessage(List<Member> members) {
    return new Gossip(
        configuration.nextOffset(),
        configuration.confirmedAgoMs(),
        members,
        reports.takeForGossip(),
        placement.nextOffset(),
        shares.nextOffset());
  }

  @Override
  public void gossipReceived(String address, Gossip gossip, long receivedAtMs) {
    for (AgedReport r : gossip.reports()) {
      long takenAt = receivedAtMs - r.ageMs();
      if (reports.put(r.report(), takenAt, EndpointReportCache.RELAYED_REPORT_TRANSMISSIONS)) {
        placement.endpointReported(r.report(), takenAt);
      }
    }
    streams.peerOffsetsReceived(address, gossip);
  }

  @Override
  public void peerFreshnessReceived(Gossip gossip, long askedAtMs) {
    configuration.peerFreshnessReceived(gossip.ticketsOffset(), gossip.confirmedAgoMs(), askedAtMs);
  }

  @Override
  public void vmListUpdated(Set<VmId> listed, Set<VmId> gone) {
    onVmsListed.accept(listed);
  }

  @Override
  public void membersChanged() {
    onMembersChanged.run();
  }
}
