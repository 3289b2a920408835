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
 * Membership of the fleet as one VM sees it. One owner thread; all times are milliseconds of one
 * monotonic clock.
 *
 * <p>Each VM probes one other VM of its failure domain per round. A failed probe makes the member
 * suspect, which is passed on; a suspect member that hears of it refutes it with a higher
 * incarnation. Only changes are passed on, a bounded number of times, so the traffic of a VM does
 * not grow with the fleet.
 */
public final class Membership {
  /** Time after which a member that stays suspect no longer counts as live. */
  public static final long SUSPECT_LIMIT_MS = 1_500;

  /** Members that one message carries at most, besides the sender. */
  public static final int MAX_DELTA = 24;

  private static final int TRANSMISSIONS_PER_LOG2 = 3;
  private static final long GONE_KEPT_MS = 600_000;

  private final Map<VmId, MemberEntry> entries = new HashMap<>();
  private final Deque<VmId> ownDomainRound = new ArrayDeque<>();
  private final Deque<VmId> otherDomainRound = new ArrayDeque<>();
  private final Random random;
  private Member self;

  /**
   * Creates a membership that knows only this VM.
   *
   * @param self this VM, with an incarnation higher than that of any earlier process on it
   * @param random source of probe orders
   */
  public Membership(Member self, Random random) {
    this.self = self;
    this.random = random;
  }

  /**
   * Returns this VM.
   *
   * @return this VM, as it describes itself
   */
  public Member self() {
    return self;
  }

  /**
   * Notes the number of the ticket in force at this VM.
   *
   * @param number the number
   */
  public void configurationNumber(long number) {
    self = copy(self, self.incarnation(), self.state(), number);
  }

  /** Notes that this VM is about to stop. */
  public void leave() {
    self = copy(self, self.incarnation() + 1, MemberState.LEAVING, self.configurationNumber());
  }

  /**
   * Takes members from a message.
   *
   * @param members the members, the sender among them
   * @param now present time
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
    boolean wrong = claim.state() != self.state() && claim.state() != MemberState.ALIVE;
    if (wrong && claim.incarnation() >= self.incarnation()) {
      self = copy(self, claim.incarnation() + 1, self.state(), self.configurationNumber());
    }
  }

  private void merge(Member m, long now) {
    MemberEntry e = entries.get(m.vm());
    if (e == null) {
      if (m.state() != MemberState.GONE) {
        entries.put(m.vm(), new MemberEntry(m, now, transmissions()));
      }
      return;
    }
    if (supersedes(m, e.member)) {
      e.take(m, now, transmissions());
      e.lastHeardMs = now;
    }
  }

  private static boolean supersedes(Member m, Member held) {
    if (held.state() == MemberState.GONE) {
      return false;
    }
    if (m.incarnation() != held.incarnation()) {
      return m.incarnation() > held.incarnation();
    }
    int order = m.state().compareTo(held.state());
    return order > 0 || (order == 0 && m.configurationNumber() > held.configurationNumber());
  }

  /**
   * Notes that a member answered this VM directly.
   *
   * @param vm the member
   * @param now present time
   */
  public void heard(VmId vm, long now) {
    MemberEntry e = entries.get(vm);
    if (e != null) {
      e.lastHeardMs = now;
      if (e.member.state() == MemberState.SUSPECT) {
        e.state(MemberState.ALIVE, now, 0);
      }
    }
  }

  /**
   * Notes that a probe of a member failed.
   *
   * @param vm the member
   * @param now present time
   */
  public void probeFailed(VmId vm, long now) {
    MemberEntry e = entries.get(vm);
    if (e != null && e.member.state() == MemberState.ALIVE) {
      e.state(MemberState.SUSPECT, now, transmissions());
    }
  }

  /**
   * Takes the platform's list: adds VMs that are not known yet and marks as gone those that the
   * list has shown before and shows no longer.
   *
   * @param list the list
   * @param now present time
   * @return VMs that are gone since the last call
   */
  public Set<VmId> listed(List<ListedVm> list, long now) {
    Set<VmId> shown = new HashSet<>();
    for (ListedVm vm : list) {
      shown.add(vm.vm());
      if (!vm.vm().equals(self.vm())) {
        entries.computeIfAbsent(vm.vm(), k -> unknown(vm, now)).listed = true;
      }
    }
    Set<VmId> gone = new HashSet<>();
    for (MemberEntry e : entries.values()) {
      boolean wasGone = e.member.state() == MemberState.GONE;
      if (e.listed && !shown.contains(e.member.vm()) && !wasGone) {
        e.state(MemberState.GONE, now, transmissions());
        gone.add(e.member.vm());
      }
    }
    // Kept for a while, since messages from peers may still show the VM as alive.
    entries
        .values()
        .removeIf(e -> e.member.state() == MemberState.GONE && now - e.stateSinceMs > GONE_KEPT_MS);
    return gone;
  }

  private MemberEntry unknown(ListedVm vm, long now) {
    MemberState state = vm.leaving() ? MemberState.LEAVING : MemberState.ALIVE;
    Member m = new Member(vm.vm(), vm.failureDomain(), vm.peerAddress(), 0, 0, state, 0);
    return new MemberEntry(m, now, 0);
  }

  /**
   * Returns the members that a message is to carry, and counts them as passed on.
   *
   * @return this VM and recently changed members
   */
  public List<Member> takeDelta() {
    List<Member> delta = new ArrayList<>();
    delta.add(self);
    for (MemberEntry e : entries.values()) {
      if (delta.size() > MAX_DELTA) {
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
   * Returns the next member of this VM's failure domain to probe. Suspect members are probed too,
   * so that a healed partition is noticed.
   *
   * @return the member, or empty if there is none
   */
  public Optional<Member> nextInOwnDomain() {
    return next(ownDomainRound, true);
  }

  /**
   * Returns the next member of another failure domain to exchange state with.
   *
   * @return the member, or empty if there is none
   */
  public Optional<Member> nextInOtherDomain() {
    return next(otherDomainRound, false);
  }

  private Optional<Member> next(Deque<VmId> round, boolean own) {
    if (round.isEmpty()) {
      List<VmId> candidates = new ArrayList<>();
      for (MemberEntry e : entries.values()) {
        boolean inOwn = e.member.failureDomain().equals(self.failureDomain());
        if (inOwn == own && e.member.state() != MemberState.GONE) {
          candidates.add(e.member.vm());
        }
      }
      Collections.sort(candidates);
      Collections.shuffle(candidates, random);
      round.addAll(candidates);
    }
    while (!round.isEmpty()) {
      MemberEntry e = entries.get(round.removeFirst());
      if (e != null) {
        return Optional.of(e.member);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns this VM and all members that are not gone.
   *
   * @param now present time
   * @return the members, ordered by VM
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
   * @param now present time
   * @return the VMs, this one among them unless it is leaving
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
        return now - e.stateSinceMs < SUSPECT_LIMIT_MS;
      default:
        return false;
    }
  }

  private int transmissions() {
    int size = entries.size() + 2;
    return TRANSMISSIONS_PER_LOG2 * (Integer.SIZE - Integer.numberOfLeadingZeros(size));
  }

  private static Member copy(Member m, long incarnation, MemberState state, long number) {
    return new Member(
        m.vm(), m.failureDomain(), m.address(), incarnation, m.heartbeat(), state, number);
  }
}
