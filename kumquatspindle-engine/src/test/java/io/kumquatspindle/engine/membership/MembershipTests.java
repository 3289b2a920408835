package io.kumquatspindle.engine.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.ListedVm;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Membership")
class MembershipTests {
  private static final FailureDomain D = FailureDomain.of("d0");
  private static final VmId B = VmId.of("b");
  private final Membership a = of("a", 1, 1);

  private static Membership of(String vm, long incarnation, long seed) {
    return new Membership(
        member(vm, incarnation, 0, MemberState.ALIVE),
        MembershipSettings.DEFAULT,
        new Random(seed),
        0);
  }

  private static Member member(String vm, long incarnation, long heartbeat, MemberState state) {
    FailureDomain domain = vm.startsWith("far") ? FailureDomain.of("d1") : D;
    return new Member(VmId.of(vm), domain, "127.0.0.1:1", incarnation, heartbeat, state, 0);
  }

  private MemberState stateOfB() {
    return a.all().stream().filter(m -> m.vm().equals(B)).findFirst().orElseThrow().state();
  }

  @Test
  @DisplayName("suspects a silent member that the list shows, however long it is silent")
  void suspects() {
    a.listed(List.of(new ListedVm(B, D, "127.0.0.1:1", false)), 0);
    a.receive(List.of(member("b", 1, 1, MemberState.ALIVE)), 0);
    a.tick(2_999);
    assertEquals(MemberState.ALIVE, stateOfB());
    a.receive(List.of(member("b", 1, 1, MemberState.ALIVE)), 2_999);
    a.tick(3_000);
    assertEquals(MemberState.SUSPECT, stateOfB());
    a.tick(10_000_000);
    assertEquals(MemberState.SUSPECT, stateOfB());
    assertTrue(a.present().containsKey(B));
    a.receive(List.of(member("b", 1, 2, MemberState.ALIVE)), 10_000_000);
    assertEquals(MemberState.ALIVE, stateOfB());
  }

  @Test
  @DisplayName(
      "takes a VM for gone only if the list showed it before, and late gossip changes nothing")
  void goneByList() {
    a.receive(List.of(member("b", 1, 1, MemberState.ALIVE)), 0);
    assertEquals(Set.of(), a.listed(List.of(), 0));
    a.listed(List.of(new ListedVm(B, D, "127.0.0.1:1", false)), 100);
    assertEquals(Set.of(B), a.listed(List.of(), 200));
    a.receive(List.of(member("b", 1, 9, MemberState.ALIVE)), 300);
    assertEquals(MemberState.GONE, stateOfB());
    assertEquals(Set.of(VmId.of("a")), a.live(D));
  }

  @Test
  @DisplayName("takes a member that leaves and falls silent for gone, until it starts again")
  void goneAfterLeaving() {
    a.receive(List.of(member("b", 1, 1, MemberState.LEAVING)), 0);
    assertEquals(MemberState.LEAVING, stateOfB());
    a.tick(3_000);
    assertEquals(MemberState.GONE, stateOfB());
    a.receive(List.of(member("b", 1, 2, MemberState.LEAVING)), 3_100);
    assertEquals(MemberState.GONE, stateOfB());
    a.receive(List.of(member("b", 2, 0, MemberState.ALIVE)), 3_200);
    assertEquals(MemberState.ALIVE, stateOfB());
  }

  @Test
  @DisplayName("refutes a claim that it is suspected or gone by a higher incarnation")
  void refutes() {
    a.receive(List.of(member("a", 1, 0, MemberState.SUSPECT)), 0);
    assertEquals(2, a.self().incarnation());
    a.receive(List.of(member("a", 1, 0, MemberState.GONE)), 0);
    assertEquals(2, a.self().incarnation());
    a.receive(List.of(member("a", 7, 0, MemberState.GONE)), 0);
    assertEquals(8, a.self().incarnation());
  }

  @Test
  @DisplayName("chooses peers by failure domain")
  void choosesPeers() {
    assertEquals(Optional.empty(), a.nearPeer());
    a.receive(List.of(member("b", 1, 1, MemberState.ALIVE)), 0);
    a.receive(List.of(member("far1", 1, 1, MemberState.ALIVE)), 0);
    assertEquals(B, a.nearPeer().orElseThrow().vm());
    assertEquals(VmId.of("far1"), a.farPeer().orElseThrow().vm());
  }

  @Test
  @DisplayName("spreads heartbeats with bounded messages, so that no live member stays suspected")
  void convergesWithBoundedDeltas() {
    List<Membership> fleet = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      Membership m = of((i % 2 == 0 ? "near" : "far") + i, 1, i);
      m.receive(List.of(member("near0", 1, 0, MemberState.ALIVE)), 0);
      fleet.add(m);
    }
    int suspected = 0;
    for (long now = 0; now < 60_000; now += 500) {
      for (Membership m : fleet) {
        m.tick(now);
        exchange(m, m.nearPeer(), fleet, now);
        if (now % 1_000 == 0) {
          exchange(m, m.farPeer(), fleet, now);
        }
        suspected += now < 30_000 ? 0 : 60 - m.live().size();
      }
    }
    assertEquals(0, suspected);
  }

  private static void exchange(
      Membership from, Optional<Member> to, List<Membership> fleet, long now) {
    List<Member> delta = from.delta();
    assertTrue(delta.size() <= MembershipSettings.DEFAULT.deltaMembers());
    to.flatMap(t -> fleet.stream().filter(m -> m.self().vm().equals(t.vm())).findFirst())
        .ifPresent(
            peer -> {
              peer.receive(delta, now);
              from.receive(peer.delta(), now);
            });
  }
}
