package io.kumquatspindle.control.router;

import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.control.membership.MembershipController;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.control.peer.PeerConnectionPool;
import io.kumquatspindle.control.placement.PlacementController;
import io.kumquatspindle.engine.membership.MemberView;
import io.kumquatspindle.engine.membership.RendezvousHash;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Routes each message about a wanted artifact to the artifact's decider, the VM that decides
 * whether and where it is loaded, so that a burst of requests at many VMs results in a single
 * append. A decider that does not reply is skipped, which is safe because the order of the log
 * admits only one decision.
 */
public final class ModelWantedRouter {
  private static final Duration DECIDER_TIMEOUT = Duration.ofMillis(500);

  private final VmId vm;
  private final Supplier<MembershipView> members;
  private final PeerConnectionPool peers;
  private final PlacementController placement;
  private final boolean sharedDecider;

  /**
   * Creates a router.
   *
   * @param vm this VM
   * @param membership the members
   * @param peers connections to peers
   * @param placement decides on this VM
   * @param sharedDecider whether one VM decides on an artifact for the whole fleet
   */
  public ModelWantedRouter(
      VmId vm,
      MembershipController membership,
      PeerConnectionPool peers,
      PlacementController placement,
      boolean sharedDecider) {
    this.vm = vm;
    this.members = membership::view;
    this.peers = peers;
    this.placement = placement;
    this.sharedDecider = sharedDecider;
  }

  /**
   * Routes a message of an entry program to the decider.
   *
   * @param wanted the message
   * @param reply receives the outlook
   */
  public void route(ModelWanted wanted, Consumer<ModelOutlook> reply) {
    if (sharedDecider) {
      requestNext(deciders(wanted.artifact()), wanted, reply);
    } else {
      placement.modelWanted(wanted, reply);
    }
  }

  /**
   * Returns the addresses to contact, in order: the decider, then the decider among the VMs of
   * other failure domains, which may be able to reach the log if the first decider's domain cannot.
   * Empty if this VM decides.
   */
  private Deque<String> deciders(ArtifactName artifact) {
    MembershipView view = members.get();
    Deque<String> addresses = new ArrayDeque<>();
    Optional<MemberView> decider = owner(artifact, view, v -> true);
    if (decider.isEmpty() || (isSelf(decider.get()) && placement.logReachable())) {
      return addresses;
    }
    FailureDomain deciderDomain = decider.get().member().failureDomain();
    decider.filter(v -> !isSelf(v)).ifPresent(v -> addresses.add(v.member().address()));
    owner(artifact, view, v -> !isSelf(v) && !v.member().failureDomain().equals(deciderDomain))
        .ifPresent(v -> addresses.add(v.member().address()));
    return addresses;
  }

  private boolean isSelf(MemberView v) {
    return v.member().vm().equals(vm);
  }

  private static Optional<MemberView> owner(
      ArtifactName artifact, MembershipView view, Predicate<MemberView> filter) {
    List<MemberView> candidates =
        view.members().stream().filter(MemberView::live).filter(filter).toList();
    List<VmId> vms = candidates.stream().map(v -> v.member().vm()).toList();
    return RendezvousHash.owner(artifact.value(), vms)
        .flatMap(
            owner -> candidates.stream().filter(v -> v.member().vm().equals(owner)).findFirst());
  }

  private void requestNext(
      Deque<String> deciders, ModelWanted wanted, Consumer<ModelOutlook> reply) {
    if (deciders.isEmpty()) {
      placement.modelWanted(wanted, reply);
      return;
    }
    peers.request(
        deciders.removeFirst(),
        wanted,
        DECIDER_TIMEOUT,
        m -> {
          if (m instanceof ModelOutlook o && isFinal(o, deciders)) {
            reply.accept(o);
          } else {
            requestNext(deciders, wanted, reply);
          }
        },
        reason -> requestNext(deciders, wanted, reply));
  }

  // A decider that cannot reach the log refuses, but another one may be able to reach it.
  private boolean isFinal(ModelOutlook outlook, Deque<String> remainingDeciders) {
    boolean refused = outlook.outlook() == EntryMessage.Outlook.REFUSED;
    return !refused || (remainingDeciders.isEmpty() && !placement.logReachable());
  }
}
