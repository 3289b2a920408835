package io.kumquatspindle.control.membership;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.GossipReply;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.ListedVm;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.peer.PeerConnectionPool;
import io.kumquatspindle.engine.membership.MemberView;
import io.kumquatspindle.engine.membership.Membership;
import io.kumquatspindle.transport.worker.EventWorker;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Owns the membership state and runs the gossip protocol with peers. */
public final class MembershipController implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 512;
  // Longer than a round trip between regions, shorter than two gossip rounds.
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

  private final Membership membership;
  private final PeerConnectionPool peers;
  private final GossipDelegate delegate;
  private final List<String> seeds;
  private final MonotonicClock clock;
  private final EventWorker<MembershipEvent> worker;
  private volatile MembershipView view;
  private volatile Member self;

  /**
   * Creates a controller and starts its thread.
   *
   * @param membership the membership state; must not be used elsewhere
   * @param peers connections to peers
   * @param delegate supplies and receives the application data of gossip messages
   * @param seeds addresses that are contacted while no other VM is known
   * @param clock the monotonic clock
   */
  public MembershipController(
      Membership membership,
      PeerConnectionPool peers,
      GossipDelegate delegate,
      List<String> seeds,
      MonotonicClock clock) {
    this.membership = membership;
    this.peers = peers;
    this.delegate = delegate;
    this.seeds = List.copyOf(seeds);
    this.clock = clock;
    this.self = membership.self();
    this.view = new MembershipView(clock.nowMs(), membership.members(clock.nowMs()));
    this.worker =
        EventWorker.<MembershipEvent>builder("membership", this::handle)
            .capacity(RING_CAPACITY)
            .start();
  }

  /**
   * Returns the members, as last published.
   *
   * @return the members
   */
  public MembershipView view() {
    return view;
  }

  /**
   * Returns this VM's member, as last published.
   *
   * @return the member
   */
  public Member self() {
    return self;
  }

  /** Starts a gossip round with a member of this VM's failure domain. */
  public void ownDomainRound() {
    worker.offer(new MembershipEvent.OwnDomainRound());
  }

  /** Starts a gossip round with a member of another failure domain. */
  public void otherDomainRound() {
    worker.offer(new MembershipEvent.OtherDomainRound());
  }

  /**
   * Handles a gossip message of a peer.
   *
   * @param gossip the message
   * @param reply receives the reply, on the controller's thread
   */
  public void gossipReceived(Gossip gossip, Consumer<GossipReply> reply) {
    worker.offer(new MembershipEvent.GossipReceived(gossip, clock.nowMs(), reply));
  }

  /**
   * Handles a new state of the platform's VM list.
   *
   * @param vms the VMs on the list
   */
  public void vmListUpdated(List<ListedVm> vms) {
    worker.offer(new MembershipEvent.VmListUpdated(vms));
  }

  /**
   * Updates the configuration number of this VM and disseminates it to peers immediately.
   *
   * @param number number of the last ticket applied at this VM
   */
  public void configurationNumberChanged(long number) {
    worker.offer(new MembershipEvent.ConfigurationNumberChanged(number));
  }

  /**
   * Notifies peers that this VM is about to stop.
   *
   * @param callback called when the messages have been submitted for sending
   */
  public void leave(Runnable callback) {
    if (!worker.offer(new MembershipEvent.Leave(callback))) {
      callback.run();
    }
  }

  @Override
  public void close() {
    worker.close();
  }

  private void handle(MembershipEvent event) {
    long now = clock.nowMs();
    if (event instanceof MembershipEvent.OwnDomainRound) {
      runOwnDomainRound();
    } else if (event instanceof MembershipEvent.OtherDomainRound) {
      membership.nextInOtherDomain().ifPresent(this::gossipWith);
    } else if (event instanceof MembershipEvent.GossipReceived r) {
      membership.merge(r.gossip().members(), now);
      r.reply().accept(toReply(delegate.buildMessage(membership.takeDelta())));
      delegate.gossipReceived(senderAddress(r.gossip().members()), r.gossip(), r.receivedAtMs());
    } else if (event instanceof MembershipEvent.ReplyReceived reply) {
      replyReceived(reply, now);
    } else if (event instanceof MembershipEvent.NoReply n) {
      logger.atFine().log("no gossip reply from %s: %s", n.peer().vm(), n.reason());
      membership.recordProbeFailure(n.peer().vm(), now);
    } else if (event instanceof MembershipEvent.VmListUpdated l) {
      applyVmList(l.vms(), now);
    } else if (event instanceof MembershipEvent.ConfigurationNumberChanged c) {
      membership.setConfigurationNumber(c.number());
      disseminate();
    } else if (event instanceof MembershipEvent.Leave l) {
      membership.startLeaving();
      disseminate();
      l.callback().run();
    }
    publish(now);
  }

  private void runOwnDomainRound() {
    Optional<Member> peer = membership.nextInOwnDomain();
    if (peer.isPresent()) {
      gossipWith(peer.get());
    } else if (view.members().size() == 1) {
      seeds.forEach(this::contactSeed);
    }
  }

  // Gossips with three members at once, so that a configuration change reaches all VMs within a few
  // round trips, even if some of them cannot reach the log.
  private void disseminate() {
    membership.nextInOwnDomain().ifPresent(this::gossipWith);
    membership.nextInOtherDomain().ifPresent(this::gossipWith);
    membership.nextInOwnDomain().ifPresent(this::gossipWith);
  }

  private void gossipWith(Member peer) {
    long requestedAtMs = clock.nowMs();
    peers.request(
        peer.address(),
        delegate.buildMessage(membership.takeDelta()),
        PROBE_TIMEOUT,
        m -> onReply(peer, m, requestedAtMs),
        reason -> worker.offer(new MembershipEvent.NoReply(peer, reason)));
  }

  private void contactSeed(String address) {
    if (address.equals(self.address())) {
      return;
    }
    long requestedAtMs = clock.nowMs();
    peers.request(
        address,
        delegate.buildMessage(membership.takeDelta()),
        PROBE_TIMEOUT,
        m -> onReply(null, m, requestedAtMs),
        reason -> logger.atFine().log("no gossip reply from seed %s: %s", address, reason));
  }

  private void onReply(Member peer, Message message, long requestedAtMs) {
    if (message instanceof GossipReply r) {
      worker.offer(new MembershipEvent.ReplyReceived(peer, r, requestedAtMs));
    }
  }

  private void replyReceived(MembershipEvent.ReplyReceived event, long now) {
    GossipReply r = event.reply();
    membership.merge(r.members(), now);
    if (event.peer() != null) {
      membership.recordContact(event.peer().vm(), now);
    }
    Gossip gossip =
        new Gossip(
            r.ticketsOffset(),
            r.confirmedAgoMs(),
            r.members(),
            r.reports(),
            r.decisionsOffset(),
            r.sharesOffset());
    delegate.gossipReceived(senderAddress(r.members()), gossip, event.requestedAtMs());
    delegate.peerFreshnessReceived(gossip, event.requestedAtMs());
  }

  private void applyVmList(List<ListedVm> vms, long now) {
    Set<VmId> removed = membership.applyPlatformList(vms, now);
    Set<VmId> listed = new HashSet<>();
    vms.forEach(v -> listed.add(v.vm()));
    removed.forEach(vm -> logger.atInfo().log("%s was removed from the VM list", vm));
    delegate.vmListUpdated(listed, removed);
  }

  private void publish(long now) {
    List<MemberView> before = view.members();
    self = membership.self();
    view = new MembershipView(now, membership.members(now));
    if (!sameLiveMembers(before, view.members())) {
      delegate.membersChanged();
    }
  }

  private static boolean sameLiveMembers(List<MemberView> a, List<MemberView> b) {
    return liveVms(a).equals(liveVms(b));
  }

  private static List<VmId> liveVms(List<MemberView> list) {
    return list.stream().filter(MemberView::live).map(v -> v.member().vm()).toList();
  }

  private static GossipReply toReply(Gossip g) {
    return new GossipReply(
        g.ticketsOffset(),
        g.confirmedAgoMs(),
        g.members(),
        g.reports(),
        g.decisionsOffset(),
        g.sharesOffset());
  }

  // The first member of a message is its sender.
  private static String senderAddress(List<Member> members) {
    return members.isEmpty() ? "" : members.get(0).address();
  }
}
