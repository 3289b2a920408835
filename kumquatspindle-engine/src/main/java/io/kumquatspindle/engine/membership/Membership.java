package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.ListedVm;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * The members of the fleet as one VM sees them. A member whose heartbeat stands still is suspected,
 * and stays suspected as long as the platform's list shows it; it is gone when the list no longer
 * shows it, or when it has announced that it leaves and then falls silent. Times are milliseconds
 * of one monotonic clock. One owner thread.
 */
public final class Membership {
  // One round in this many goes to a suspected member, so that parts of the fleet that were cut off
  // from each other meet again.
  private static final int SUSPECT_ROUND = 5;

  private final Map<VmId, KnownMember> members = new TreeMap<>();
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private Member self;
  private long heartbeatMs;

  /**
   * Returns a membership that knows only its own VM.
   *
   * @param self the own VM; its incarnation must be higher than that of any earlier process of the
   *     VM, for example the time of the start in ms since the epoch
   * @param settings times and sizes
   * @param random source of random choices
   * @param now present time, in ms
   */
  public Membership(Member self, MembershipSettings settings, RandomGenerator random, long now) {
    this.self = Objects.requireNonNull(self, "self");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.random = Objects.requireNonNull(random, "random");
    heartbeatMs = now;
  }

  /**
   * Merges members that a peer has sent. A claim that the own VM is suspected or gone is refuted by
   * a higher incarnation.
   *
   * @param received the members
   * @param now present time, in ms
   */
  public void receive(Collection<Member> received, long now) {
    for (Member m : received) {
      if (m.vm().equals(self.vm())) {
        refute(m);
      } else {
        merge(m, now);
      }
    }
  }

  private void refute(Member claim) {
    boolean wrong = claim.state() == MemberState.SUSPECT || claim.state() == MemberState.GONE;
    if (claim.incarnation() > self.incarnation()
        || (wrong && claim.incarnation() == self.incarnation())) {
      self = KnownMember.with(self, claim.incarnation() + 1, self.heartbeat() + 1, self.state());
    }
  }

  private void merge(Member m, long now) {
    KnownMember known = members.get(m.vm());
    if (known == null) {
      if (m.state() != MemberState.GONE) {
        members.put(m.vm(), new KnownMember(m, now));
      }
      return;
    }
    if (known.droppedFromList) {
      return;
    }
    boolean back =
        known.state() != MemberState.GONE || m.incarnation() > known.member.incarnation();
    if (m.state() == MemberState.GONE) {
      if (m.incarnation() >= known.member.incarnation()) {
        known.become(MemberState.GONE, now);
      }
    } else if (known.isOlderThan(m) && back) {
      boolean leaving = m.state() == MemberState.LEAVING;
      boolean changed = known.state() != m.state();
      known.member =
          KnownMember.with(
              m, m.incarnation(), m.heartbeat(), leaving ? MemberState.LEAVING : MemberState.ALIVE);
      known.heardMs = now;
      known.goneMs = 0;
      known.sent = changed ? 0 : 1;
    }
  }

  /**
   * Takes over the platform's list of VMs. A VM that was never heard of becomes a suspected member,
   * so that it is contacted; a VM that an earlier list showed and this one does not is gone.
   *
   * @param listed the whole list
   * @param now present time, in ms
   * @return members that are gone since the list no longer shows them, at each call
   */
  public Set<VmId> listed(Collection<ListedVm> listed, long now) {
    Map<VmId, ListedVm> byVm =
        listed.stream().collect(Collectors.toMap(ListedVm::vm, v -> v, (a, b) -> a));
    for (ListedVm v : byVm.values()) {
      if (!v.vm().equals(self.vm())) {
        shown(v, now);
      }
    }
    for (KnownMember m : members.values()) {
      if (m.wasListed && !byVm.containsKey(m.member.vm())) {
        m.droppedFromList = true;
        m.become(MemberState.GONE, now);
      }
    }
    return members.values().stream()
        .filter(m -> m.droppedFromList)
        .map(m -> m.member.vm())
        .collect(Collectors.toSet());
  }

  private void shown(ListedVm v, long now) {
    KnownMember m =
        members.computeIfAbsent(
            v.vm(),
            k ->
                new KnownMember(
                    new Member(k, v.failureDomain(), v.peerAddress(), 0, 0, MemberState.SUSPECT, 0),
                    now));
    m.wasListed = true;
    if (m.droppedFromList) {
      m.droppedFromList = false;
      m.become(MemberState.SUSPECT, now);
    }
  }

  /**
   * Time has passed; to be called several times a second.
   *
   * @param now present time, in ms
   */
  public void tick(long now) {
    if (now >= heartbeatMs + settings.heartbeatMs()) {
      heartbeatMs = now;
      self = KnownMember.with(self, self.incarnation(), self.heartbeat() + 1, self.state());
    }
    long suspectMs = settings.suspectMs(members.size() + 1);
    for (KnownMember m : members.values()) {
      if (now - m.heardMs >= suspectMs) {
        if (m.state() == MemberState.ALIVE) {
          m.become(MemberState.SUSPECT, now);
        } else if (m.state() == MemberState.LEAVING) {
          m.become(MemberState.GONE, now);
        }
      }
    }
    members
        .values()
        .removeIf(m -> m.state() == MemberState.GONE && now - m.goneMs >= settings.forgetMs());
  }

  /** Announces in gossip that the own VM leaves. */
  public void leave() {
    self = KnownMember.with(self, self.incarnation(), self.heartbeat() + 1, MemberState.LEAVING);
  }

  /**
   * Tells in gossip which ticket is in force at the own VM.
   *
   * @param number number of the ticket
   */
  public void configuration(long number) {
    self =
        new Member(
            self.vm(),
            self.failureDomain(),
            self.address(),
            self.incarnation(),
            self.heartbeat() + 1,
            self.state(),
            number);
  }

  /**
   * Returns members for a gossip message: the own VM, then those whose newest state was sent least
   * often, in random order.
   *
   * @return at most {@link MembershipSettings#deltaMembers} members
   */
  public List<Member> delta() {
    List<KnownMember> others = new ArrayList<>(members.values());
    Collections.shuffle(others, new Random(random.nextLong()));
    others.sort(Comparator.comparingInt(m -> m.sent));
    List<Member> delta = new ArrayList<>();
    delta.add(self);
    for (KnownMember m : others) {
      if (delta.size() >= settings.deltaMembers()) {
        break;
      }
      m.sent++;
      delta.add(m.member);
    }
    return delta;
  }

  /**
   * Chooses a random peer of the own failure domain.
   *
   * @return the peer, or empty if there is none
   */
  public Optional<Member> nearPeer() {
    return peer(m -> m.failureDomain().equals(self.failureDomain()));
  }

  /**
   * Chooses a random peer of another failure domain.
   *
   * @return the peer, or empty if there is none
   */
  public Optional<Member> farPeer() {
    return peer(m -> !m.failureDomain().equals(self.failureDomain()));
  }

  private Optional<Member> peer(Predicate<Member> where) {
    List<Member> alive = new ArrayList<>();
    List<Member> suspect = new ArrayList<>();
    for (KnownMember m : members.values()) {
      if (where.test(m.member) && m.state() == MemberState.ALIVE) {
        alive.add(m.member);
      } else if (where.test(m.member) && m.state() == MemberState.SUSPECT) {
        suspect.add(m.member);
      }
    }
    boolean trySuspect = !suspect.isEmpty() && random.nextInt(SUSPECT_ROUND) == 0;
    List<Member> from = alive.isEmpty() || trySuspect ? suspect : alive;
    return from.isEmpty() ? Optional.empty() : Optional.of(from.get(random.nextInt(from.size())));
  }

  /**
   * Returns the own VM as it is sent in gossip.
   *
   * @return the own VM
   */
  public Member self() {
    return self;
  }

  /**
   * Returns all members that are known, including those that are gone and not yet forgotten.
   *
   * @return the members, the own VM among them, in order of their identifiers
   */
  public List<Member> all() {
    List<Member> all = new ArrayList<>();
    members.values().forEach(m -> all.add(m.member));
    all.add(self);
    all.sort(Comparator.comparing(Member::vm));
    return all;
  }

  /**
   * Returns the live members, which own names: neither suspected, leaving nor gone.
   *
   * @return the VMs, the own VM among them unless it leaves
   */
  public Set<VmId> live() {
    return all().stream()
        .filter(m -> m.state() == MemberState.ALIVE)
        .map(Member::vm)
        .collect(Collectors.toSet());
  }

  /**
   * Returns the live members of a failure domain.
   *
   * @param failureDomain the failure domain
   * @return the VMs
   */
  public Set<VmId> live(FailureDomain failureDomain) {
    return all().stream()
        .filter(m -> m.state() == MemberState.ALIVE)
        .filter(m -> m.failureDomain().equals(failureDomain))
        .map(Member::vm)
        .collect(Collectors.toSet());
  }

  /**
   * Returns the members that keep their quota slots: live or suspected.
   *
   * @return failure domain of each
   */
  public Map<VmId, FailureDomain> present() {
    Map<VmId, FailureDomain> present = new HashMap<>();
    for (Member m : all()) {
      if (m.state() == MemberState.ALIVE || m.state() == MemberState.SUSPECT) {
        present.put(m.vm(), m.failureDomain());
      }
    }
    return present;
  }

  /**
   * Returns how long ago a member's heartbeat last advanced here.
   *
   * @param vm the member
   * @param now present time, in ms
   * @return age in ms, 0 for the own VM; empty for an unknown VM
   */
  public Optional<Long> heartbeatAgeMs(VmId vm, long now) {
    return vm.equals(self.vm())
        ? Optional.of(0L)
        : Optional.ofNullable(members.get(vm)).map(m -> now - m.heardMs);
  }
}
