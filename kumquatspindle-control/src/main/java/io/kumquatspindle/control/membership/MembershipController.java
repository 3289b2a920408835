package io.kumquatspindle.control.membership;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.GossipReply;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.ListedVm;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.peer.PeerNetwork;
import io.kumquatspindle.engine.membership.MemberView;
import io.kumquatspindle.engine.membership.Membership;
import io.kumquatspindle.transport.worker.EventWorker;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Owns the membership and exchanges gossip with peers. */
public final class MembershipController implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 512;
  // Longer than a round trip between regions, shorter than two rounds.
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

  private final Membership membership;
  private final PeerNetwork peers;
  private final GossipListener listener;
  private final List<String> seeds;
  private final MonotonicClock clock;
  private final EventWorker<MembershipEvent> duty;
  private volatile MembershipView view;
  private volatile Member self;

  /**
   * Creates a controller and starts its thread.
   *
   * @param membership the membership, not used by anyone else
   * @param peers connections to peers
   * @param listener the rest of the program
   * @param seeds addresses that are asked while no other VM is known
   * @param clock the monotonic clock
   */
  public MembershipController(
      Membership membership,
      PeerNetwork peers,
      GossipListener listener,
      List<String> seeds,
      MonotonicClock clock) {
    this.membership = membership;
    this.peers = peers;
    this.listener = listener;
    this.seeds = List.copyOf(seeds);
    this.clock = clock;
    this.self = membership.self();
    this.view = new MembershipView(clock.nowMs(), membership.members(clock.nowMs()));
    this.duty =
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
   * Returns this VM.
   *
   * @return this VM, as last published
   */
  public Member self() {
    return self;
  }

  /** Exchanges gossip with a member of this VM's failure domain. */
  public void ownDomainRound() {
    duty.offer(new MembershipEvent.OwnDomainRound());
  }

  /** Exchanges gossip with a member of another failure domain. */
  public void otherDomainRound() {
    duty.offer(new MembershipEvent.OtherDomainRound());
  }

  /**
   * Takes gossip of a peer.
   *
   * @param gossip the message
   * @param reply takes the answer, on the controller's thread
   */
  public void received(Gossip gossip, Consumer<GossipReply> reply) {
    duty.offer(new MembershipEvent.Received(gossip, clock.nowMs(), reply));
  }

  /**
   * Takes the platform's list.
   *
   * @param vms the VMs
   */
  public void listed(List<ListedVm> vms) {
    duty.offer(new MembershipEvent.Listed(vms));
  }

  /**
   * Notes the ticket in force at this VM and tells peers at once.
   *
   * @param number the ticket's number
   */
  public void inForce(long number) {
    duty.offer(new MembershipEvent.InForce(number));
  }

  /**
   * Tells peers that this VM is about to stop.
   *
   * @param done called when the messages have been handed over
   */
  public void leave(Runnable done) {
    if (!duty.offer(new MembershipEvent.Leave(done))) {
      done.run();
    }
  }

  @Override
  public void close() {
    duty.close();
  }

  private void handle(MembershipEvent event) {
    long now = clock.nowMs();
    if (event instanceof MembershipEvent.OwnDomainRound) {
      ownRound();
    } else if (event instanceof MembershipEvent.OtherDomainRound) {
      membership.nextInOtherDomain().ifPresent(this::exchange);
    } else if (event instanceof MembershipEvent.Received r) {
      membership.merge(r.gossip().members(), now);
      r.reply().accept(reply(listener.message(membership.takeDelta())));
      listener.received(addressOf(r.gossip().members()), r.gossip(), r.receivedAtMs());
    } else if (event instanceof MembershipEvent.Answered a) {
      answered(a, now);
    } else if (event instanceof MembershipEvent.Unanswered u) {
      logger.atFine().log("no answer from %s: %s", u.peer().vm(), u.reason());
      membership.recordProbeFailure(u.peer().vm(), now);
    } else if (event instanceof MembershipEvent.Listed l) {
      listed(l.vms(), now);
    } else if (event instanceof MembershipEvent.InForce f) {
      membership.setConfigurationNumber(f.number());
      spread();
    } else if (event instanceof MembershipEvent.Leave l) {
      membership.startLeaving();
      spread();
      l.done().run();
    }
    publish(now);
  }

  private void ownRound() {
    Optional<Member> peer = membership.nextInOwnDomain();
    if (peer.isPresent()) {
      exchange(peer.get());
    } else if (view.members().size() == 1) {
      seeds.forEach(this::askSeed);
    }
  }

  // A change of the configuration reaches all VMs within a few round trips this way, even when
  // the log is out of reach for some.
  private void spread() {
    membership.nextInOwnDomain().ifPresent(this::exchange);
    membership.nextInOtherDomain().ifPresent(this::exchange);
    membership.nextInOwnDomain().ifPresent(this::exchange);
  }

  private void exchange(Member peer) {
    long askedAt = clock.nowMs();
    peers.ask(
        peer.address(),
        listener.message(membership.takeDelta()),
        PROBE_TIMEOUT,
        m -> answer(peer, m, askedAt),
        reason -> duty.offer(new MembershipEvent.Unanswered(peer, reason)));
  }

  private void askSeed(String address) {
    if (address.equals(self.address())) {
      return;
    }
    long askedAt = clock.nowMs();
    peers.ask(
        address,
        listener.message(membership.takeDelta()),
        PROBE_TIMEOUT,
        m -> answer(null, m, askedAt),
        reason -> logger.atFine().log("seed %s: %s", address, reason));
  }

  private void answer(Member peer, Message m, long askedAt) {
    if (m instanceof GossipReply r) {
      duty.offer(new MembershipEvent.Answered(peer, r, askedAt));
    }
  }

  private void answered(MembershipEvent.Answered a, long now) {
    GossipReply r = a.reply();
    membership.merge(r.members(), now);
    if (a.peer() != null) {
      membership.recordContact(a.peer().vm(), now);
    }
    Gossip same =
        new Gossip(
            r.ticketsOffset(),
            r.confirmedAgoMs(),
            r.members(),
            r.reports(),
            r.decisionsOffset(),
            r.sharesOffset());
    listener.received(addressOf(r.members()), same, a.askedAtMs());
    listener.confirmed(same, a.askedAtMs());
  }

  private void listed(List<ListedVm> vms, long now) {
    Set<VmId> gone = membership.applyPlatformList(vms, now);
    Set<VmId> listed = new HashSet<>();
    vms.forEach(v -> listed.add(v.vm()));
    gone.forEach(vm -> logger.atInfo().log("the VM list no longer shows %s", vm));
    listener.listed(listed, gone);
  }

  private void publish(long now) {
    List<MemberView> before = view.members();
    self = membership.self();
    view = new MembershipView(now, membership.members(now));
    if (!sameLiveMembers(before, view.members())) {
      listener.membersChanged();
    }
  }

  private static boolean sameLiveMembers(List<MemberView> a, List<MemberView> b) {
    return liveVms(a).equals(liveVms(b));
  }

  private static List<VmId> liveVms(List<MemberView> list) {
    return list.stream().filter(MemberView::live).map(v -> v.member().vm()).toList();
  }

  private static GossipReply reply(Gossip g) {
    return new GossipReply(
        g.ticketsOffset(),
        g.confirmedAgoMs(),
        g.members(),
        g.reports(),
        g.decisionsOffset(),
        g.sharesOffset());
  }

  // The sender of a message puts itself first.
  private static String addressOf(List<Member> members) {
    return members.isEmpty() ? "" : members.get(0).address();
  }
}
