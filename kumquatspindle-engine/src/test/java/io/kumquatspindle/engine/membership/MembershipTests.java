package io.kumquatspindle.engine.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.ListedVm;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Membership")
class MembershipTests {
  private static final FailureDomain A = FailureDomain.of("a");
  private static final VmId ONE = VmId.of("vm-1");
  private static final VmId TWO = VmId.of("vm-2");

  private final Membership one =
      new Membership(member("vm-1", MemberState.ALIVE, 1), new Random(1));

  private static Member member(String vm, MemberState state, long incarnation) {
    return new Member(VmId.of(vm), A, "127.0.0.1:1", incarnation, 0, state, 0);
  }

  private boolean isLive(VmId vm, long now) {
    return one.live(Optional.of(A), now).contains(vm);
  }

  @Nested
  @DisplayName("when a probe fails")
  class ProbeFails {

    @Test
    @DisplayName(
        "a member is not live after the suspicion timeout, and is live again once it answers")
    void suspects() {
      one.merge(List.of(member("vm-2", MemberState.ALIVE, 1)), 0);
      one.recordProbeFailure(TWO, 100);
      assertTrue(isLive(TWO, 100 + Membership.SUSPECT_TIMEOUT_MS - 1));
      assertFalse(isLive(TWO, 100 + Membership.SUSPECT_TIMEOUT_MS));
      one.recordContact(TWO, 5_000);
      assertTrue(isLive(TWO, 5_000));
    }

    @Test
    @DisplayName("a live member refutes the suspicion with a higher incarnation")
    void refutes() {
      one.merge(List.of(member("vm-1", MemberState.SUSPECT, 1)), 0);
      assertEquals(2, one.self().incarnation());
      assertEquals(MemberState.ALIVE, one.self().state());
    }
  }

  @Nested
  @DisplayName("when the platform no longer lists a VM")
  class Gone {

    @Test
    @DisplayName("late messages from peers do not restore it")
    void staysGone() {
      one.applyPlatformList(List.of(new ListedVm(TWO, A, "127.0.0.1:2", false)), 0);
      assertTrue(isLive(TWO, 0));
      assertEquals(Set.of(TWO), one.applyPlatformList(List.of(), 10));
      one.merge(List.of(member("vm-2", MemberState.ALIVE, 9)), 20);
      assertFalse(isLive(TWO, 20));
      assertEquals(1, one.members(20).size());
    }

    @Test
    @DisplayName("a VM that was never listed is kept, since the list may lag behind")
    void keepsUnlisted() {
      one.merge(List.of(member("vm-2", MemberState.ALIVE, 1)), 0);
      assertEquals(Set.of(), one.applyPlatformList(List.of(), 10));
      assertTrue(isLive(TWO, 10));
    }
  }

  @Test
  @DisplayName("all 39 VMs of a failure domain learn of a failed VM within 5 s of probing")
  void detectsFailedVm() {
    int size = 39;
    Map<VmId, Membership> fleet = new HashMap<>();
    for (int i = 0; i < size; i++) {
      Member m = member("vm-" + i, MemberState.ALIVE, 1);
      fleet.put(m.vm(), new Membership(m, new Random(i)));
    }
    List<Member> all = fleet.values().stream().map(Membership::self).toList();
    fleet.values().forEach(m -> m.merge(all, 0));
    VmId failed = VmId.of("vm-7");
    for (long now = 0; now < 5_000; now += 500) {
      probeRound(fleet, failed, now);
    }
    for (Map.Entry<VmId, Membership> e : fleet.entrySet()) {
      boolean detected = !e.getValue().live(Optional.of(A), 5_000).contains(failed);
      assertTrue(
          detected || e.getKey().equals(failed), e.getKey() + " did not detect the failed VM");
    }
  }

  private static void probeRound(Map<VmId, Membership> fleet, VmId failed, long now) {
    for (Map.Entry<VmId, Membership> e : fleet.entrySet()) {
      if (e.getKey().equals(failed)) {
        continue;
      }
      Membership prober = e.getValue();
      Member target = prober.nextInOwnDomain().orElseThrow();
      if (target.vm().equals(failed)) {
        prober.recordProbeFailure(failed, now);
      } else {
        Membership peer = fleet.get(target.vm());
        peer.merge(prober.takeDelta(), now);
        prober.merge(peer.takeDelta(), now);
        prober.recordContact(target.vm(), now);
      }
    }
  }

  @Test
  @DisplayName("rendezvous hashing reassigns only the names of a VM that is removed")
  void reassignsOnlyNamesOfRemovedVm() {
    List<VmId> before = List.of(ONE, TWO, VmId.of("vm-3"));
    int moved = 0;
    for (int i = 0; i < 3_000; i++) {
      VmId owner = RendezvousHash.owner("model-" + i, before).orElseThrow();
      VmId after = RendezvousHash.owner("model-" + i, before.subList(0, 2)).orElseThrow();
      boolean stayed = owner.equals(after);
      assertTrue(stayed || owner.equals(VmId.of("vm-3")));
      moved += stayed ? 0 : 1;
    }
    assertTrue(
        moved > 800 && moved < 1_200,
        "expected about a third of the names to move, but moved " + moved);
  }
}
