package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.ListedVm;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Tracks the membership of the fleet, as seen by one VM. Not thread-safe: confined to one owner
 * thread. All times are milliseconds of the same monotonic clock.
 *
 * <p>Implements a SWIM-style gossip protocol: each VM probes one other VM of its failure domain per
 * round. A failed probe marks the member as suspect, and the suspicion is gossiped; a suspect
 * member that learns of it refutes it with a higher incarnation. Only changes are gossiped, each a
 * bounded number of times, so the traffic of a VM does not grow with the size of the fleet.
 */
public final class Membership {
  /** Time after which a member that remains suspect is no longer considered live. */
  public static final long SUSPECT_TIMEOUT_MS = 1_500;

  /** Maximum number of members in one message, in addition to the sender. */
  public static final int MAX_DELTA_MEMBERS = 24;

  private static final int TRANSMISSIONS_PER_LOG2 = 3;
  private static final long GONE_RETENTION_MS = 600_000;

  private final Map<VmId, MemberEntry> entries = new HashMap<>();
  private final Deque<VmId> ownDomainOrder = new ArrayDeque<>();
  private final Deque<VmId> otherDomainOrder = new ArrayDeque<>();
  private final Random random;
  private Member self;

  /**
   * Creates a membership that knows only this VM.
   *
   * @param self this VM, with an incarnation higher than that of any earlier process on it
   * @param random source of randomness for the probe order
   */
  public Membership(Member self, Random random) {
    this.self = self;
    this.random = random;
  }

  /**
   * Returns the state that this VM announces for itself.
   *
   * @return the state of this VM
   */
  public Member self() {
    return self;
  }

  /**
   * Sets the configuration number at this VM, which is the number of the ticket in force.
   *
   * @param number the configuration number
   */
  public void setConfigurationNumber(long number) {
    self = copy(self, self.incarnation(), self.state(), number);
  }

  /** Announces that this VM is about to stop. */
  public void startLeaving() {
    self = copy(self, self.incarnation() + 1, MemberState.LEAVING, self.configurationNumber());
  }

  /**
   * Merges the members from a received message.
   *
   * @param members the members, including the sender
   * @param now current time, in ms
   */
  public void merge(List<Member> members, long now) {
    for (Member m : members) {
      if (m.vm().equals(self.vm())) {
        refute(m);
      } else {
        merge(m, now);
      }
    }
  }

  private void refute(Member claim) {
    boolean needsRefutation = claim.state() != self.state() && claim.state() != MemberState.ALIVE;
    if (needsRefutation && claim.incarnation() >= self.incarnation()) {
      self = copy(self, claim.incarnation() + 1, self.state(), self.configurationNumber());
    }
  }

  private void merge(Member m, long now) {
    MemberEntry e = entries.get(m.vm());
    if (e == null) {
      if (m.state() != MemberState.GONE) {
        entries.put(m.vm(), new MemberEntry(m, now, transmissionLimit()));
      }
      return;
    }
    if (supersedes(m, e.member)) {
      e.update(m, now, transmissionLimit());
      e.lastHeardMs = now;
    }
  }

  private static boolean supersedes(Member m, Member known) {
    if (known.state() == MemberState.GONE) {
      return false;
    }
    if (m.incarnation() != known.incarnation()) {
      return m.incarnation() > known.incarnation();
    }
    int order = m.state().compareTo(known.state());
    return order > 0 || (order == 0 && m.configurationNumber() > known.configurationNumber());
  }

  /**
   * Records that a member answered this VM directly, and clears a suspicion against it.
   *
   * @param vm the member
   * @param now current time, in ms
   */
  public void recordContact(VmId vm, long now) {
    MemberEntry e = entries.get(vm);
    if (e != null) {
      e.lastHeardMs = now;
      if (e.member.state() == MemberState.SUSPECT) {
        e.updateState(MemberState.ALIVE, now, 0);
      }
    }
  }

  /**
   * Records that a probe of a member failed, and marks a live member as suspect.
   *
   * @param vm the member
   * @param now current time, in ms
   */
  public void recordProbeFailure(VmId vm, long now) {
    MemberEntry e = entries.get(vm);
    if (e != null && e.member.state() == MemberState.ALIVE) {
      e.updateState(MemberState.SUSPECT, now, transmissionLimit());
    }
  }

  /**
   * Applies the VM list of the platform: adds unknown VMs and marks VMs as gone that were listed
   * before and are no longer listed.
   *
   * @param list the VMs listed by the platform
   * @param now current time, in ms
   * @return the VMs that are newly gone
   */
  public Set<VmId> applyPlatformList(List<ListedVm> list, long now) {
    Set<VmId> listedIds = new HashSet<>();
    for (ListedVm vm : list) {
      listedIds.add(vm.vm());
      if (!vm.vm().equals(self.vm())) {
        entries.computeIfAbsent(vm.vm(), k -> newEntry(vm, now)).listed = true;
      }
    }
    Set<VmId> gone = new HashSet<>();
    for (MemberEntry e : entries.values()) {
      boolean wasGone = e.member.state() == MemberState.GONE;
      if (e.listed && !listedIds.contains(e.member.vm()) && !wasGone) {
        e.updateState(MemberState.GONE, now, transmissionLimit());
        gone.add(e.member.vm());
      }
    }
    // Entries of gone VMs are retained for a while, because late messages from peers may still
    // report the VM as alive.
    entries
        .values()
        .removeIf(
            e -> e.member.state() == MemberState.GONE && now - e.stateSinceMs > GONE_RETENTION_MS);
    return gone;
  }

  private MemberEntry newEntry(ListedVm vm, long now) {
    MemberState state = vm.leaving() ? MemberState.LEAVING : MemberState.ALIVE;
    Member m = new Member(vm.vm(), vm.failureDomain(), vm.peerAddress(), 0, 0, state, 0);
    return new MemberEntry(m, now, 0);
  }

  /**
   * Returns the members to include in a message, and counts one transmission for each.
   *
   * @return this VM and recently changed members
   */
  public List<Member> takeDelta() {
    List<Member> delta = new ArrayList<>();
    delta.add(self);
    for (MemberEntry e : entries.values()) {
      if (delta.size() > MAX_DELTA_MEMBERS) {
        break;
      }
      if (e.transmissionsLeft > 0) {
        e.transmissionsLeft--;
        delta.add(e.member);
      }
    }
    return delta;
  }

  /**
   * Returns the next member of this VM's failure domain to probe. Suspect members are probed as
   * well, so that a healed network partition is detected.
   *
   * @return the member, or empty if there is none
   */
  public Optional<Member> nextInOwnDomain() {
    return next(ownDomainOrder, true);
  }

  /**
   * Returns the next member of another failure domain with which to exchange state.
   *
   * @return the member, or empty if there is none
   */
  public Optional<Member> nextInOtherDomain() {
    return next(otherDomainOrder, false);
  }

  private Optional<Member> next(Deque<VmId> order, boolean ownDomain) {
    if (order.isEmpty()) {
      List<VmId> candidates = new ArrayList<>();
      for (MemberEntry e : entries.values()) {
        boolean inOwn = e.member.failureDomain().equals(self.failureDomain());
        if (inOwn == ownDomain && e.member.state() != MemberState.GONE) {
          candidates.add(e.member.vm());
        }
      }
      Collections.sort(candidates);
      Collections.shuffle(candidates, random);
      order.addAll(candidates);
    }
    while (!order.isEmpty()) {
      MemberEntry e = entries.get(order.removeFirst());
      if (e != null) {
        return Optional.of(e.member);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns this VM and all members that are not marked as gone.
   *
   * @param now current time, in ms
   * @return the members, ordered by VM ID
   */
  public List<MemberView> members(long now) {
    List<MemberView> all = new ArrayList<>();
    all.add(new MemberView(self, self.state() == MemberState.ALIVE, 0));
    for (MemberEntry e : entries.values()) {
      if (e.member.state() != MemberState.GONE) {
        all.add(new MemberView(e.member, isLive(e, now), now - e.lastHeardMs));
      }
    }
    all.sort((a, b) -> a.member().vm().compareTo(b.member().vm()));
    return all;
  }

  /**
   * Returns the live VMs.
   *
   * @param domain a failure domain, or empty for the whole fleet
   * @param now current time, in ms
   * @return the live VMs, including this one unless it is leaving
   */
  public List<VmId> live(Optional<FailureDomain> domain, long now) {
    return members(now).stream()
        .filter(MemberView::live)
        .filter(v -> domain.isEmpty() || domain.get().equals(v.member().failureDomain()))
        .map(v -> v.member().vm())
        .toList();
  }

  private static boolean isLive(MemberEntry e, long now) {
    switch (e.member.state()) {
      case ALIVE:
        return true;
      case SUSPECT:
        return now - e.stateSinceMs < SUSPECT_TIMEOUT_MS;
      default:
        return false;
    }
  }

  private int transmissionLimit() {
    int size = entries.size() + 2;
    return TRANSMISSIONS_PER_LOG2 * (Integer.SIZE - Integer.numberOfLeadingZeros(size));
  }

  private static Member copy(Member m, long incarnation, MemberState state, long number) {
    return new Member(
        m.vm(), m.failureDomain(), m.address(), incarnation, m.heartbeat(), state, number);
  }
}
