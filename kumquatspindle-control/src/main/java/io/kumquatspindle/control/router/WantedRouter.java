package io.kumquatspindle.control.router;

import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.control.membership.MembershipController;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.control.peer.PeerNetwork;
import io.kumquatspindle.control.placement.PlacementController;
import io.kumquatspindle.engine.membership.RendezvousHash;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Sends word of a wanted artifact to its decider, so that a burst at many VMs leads to one append.
 * A decider that does not answer is passed over; the log's order allows only one decision anyway.
 */
public final class WantedRouter {
  private static final Duration DECIDER_TIMEOUT = Duration.ofMillis(500);

  private final VmId vm;
  private final Supplier<MembershipView> members;
  private final PeerNetwork peers;
  private final PlacementController placement;
  private final boolean sharedDecider;

  /**
   * Creates a router.
   *
   * @param vm this VM
   * @param membership the members
   * @param peers connections to peers
   * @param placement decides here
   * @param sharedDecider whether one VM decides on an artifact for the whole fleet
   */
  public WantedRouter(
      VmId vm,
      MembershipController membership,
      PeerNetwork peers,
      PlacementController placement,
      boolean sharedDecider) {
    this.vm = vm;
    this.members = membership::view;
    this.peers = peers;
    this.placement = placement;
    this.sharedDecider = sharedDecider;
  }

  /**
   * Passes on word from an entry program of this VM.
   *
   * @param wanted what is wanted
   * @param reply takes the outlook
   */
  public void wanted(ModelWanted wanted, Consumer<ModelOutlook> reply) {
    if (!sharedDecider) {
      placement.wanted(wanted, reply);
      return;
    }
    MembershipView view = members.get();
    Optional<String> decider =
        RendezvousHash.owner(wanted.artifact().value(), view.live(Optional.empty()))
            .filter(owner -> !owner.equals(vm))
            .flatMap(view::address);
    if (decider.isEmpty()) {
      placement.wanted(wanted, reply);
      return;
    }
    peers.ask(
        decider.get(),
        wanted,
        DECIDER_TIMEOUT,
        m -> {
          if (m instanceof ModelOutlook outlook) {
            reply.accept(outlook);
          } else {
            placement.wanted(wanted, reply);
          }
        },
        reason -> placement.wanted(wanted, reply));
  }
}
