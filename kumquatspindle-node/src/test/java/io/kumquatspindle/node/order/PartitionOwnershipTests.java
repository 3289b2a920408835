package io.kumquatspindle.node.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.engine.fleet.Hashes;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaEnforcer;
import io.kumquatspindle.node.peer.TcpPeerTransport;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Partition ownership")
class PartitionOwnershipTests {
  private static final String FIRST = "10.0.0.2:7600";
  private static final String JOINED_TOGETHER = "10.1.0.1:7600";

  /** Time after a return of the store within which partitions have a VM that orders, in ms. */
  private static final long MAX_WITHOUT_ORDERS_MS = 5_500;

  private final AtomicLong now = new AtomicLong(1_000);
  private final NodeContext node = TestNodes.of(now, "west", "east");
  private final Peers peers = new Peers(node, new TcpPeerTransport(node, m -> {}));
  private final GroupStub groups = new GroupStub();
  private final PartitionOwnership ownership =
      new PartitionOwnership(
          node, groups, peers, new QuotaEnforcer(node, peers, 1), TestNodes.SELF);

  @Test
  @DisplayName("finds VMs that joined at the same time once all of them hold partitions")
  void joinedTogether() {
    // The store's response before it has rebalanced: the first member holds all partitions.
    groups.setMembers("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.setMembers("orders-east", Map.of(0, "10.1.0.2:7600|vm-4", 1, "10.1.0.2:7600|vm-4"));
    groups.joined = GroupStub.joined(1, Set.of());
    ownership.tick();

    groups.setMembers("orders-west", Map.of(0, FIRST + "|vm-2", 1, TestNodes.SELF + "|vm"));
    groups.setMembers("orders-east", Map.of(0, "10.1.0.2:7600|vm-4", 1, JOINED_TOGETHER + "|vm-3"));
    groups.joined = GroupStub.joined(2, Set.of(1));
    now.addAndGet(1_000);
    ownership.tick();

    assertEquals(Set.of(FIRST, "10.1.0.2:7600", JOINED_TOGETHER), Set.copyOf(peers.addresses()));
  }

  @Test
  @DisplayName("lets a VM that restarts before its membership ends order its endpoints at once")
  void restarted() {
    groups.setMembers("orders-west", Map.of(0, TestNodes.SELF + "|vm", 1, FIRST + "|vm-2"));
    groups.setMembers("orders-east", Map.of());
    groups.joined = GroupStub.joined(4, Set.of(0));
    ownership.tick();

    assertEquals(Set.of(0), ownership.heldPartitions());
    assertTrue(ownership.mayOrder(endpointIn(0)));
  }

  @Test
  @DisplayName("makes a VM wait that gets the partitions of another one when it starts")
  void startedAfterOther() {
    groups.setMembers("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.setMembers("orders-east", Map.of());
    groups.joined = GroupStub.joined(4, Set.of(0, 1));
    ownership.tick();
    now.addAndGet(2_900);
    assertFalse(ownership.mayOrder(endpointIn(0)));

    now.addAndGet(2_000);
    assertTrue(ownership.mayOrder(endpointIn(0)));
  }

  @Test
  @DisplayName(
      "keeps the lease time between the orders of two VMs when the store reassigns at once")
  void reassignedAtOnce() {
    groups.setMembers("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.setMembers("orders-east", Map.of());
    PartitionOwnership other =
        new PartitionOwnership(node, groups, peers, new QuotaEnforcer(node, peers, 2), FIRST);
    groups.joined = GroupStub.joined(4, Set.of(0));
    other.tick();
    now.addAndGet(10_000);
    other.tick();

    long reassignedMs = now.get();
    long lastOrderMs = 0;
    long firstOrderMs = 0;
    for (; firstOrderMs == 0 && now.get() < reassignedMs + 20_000; now.addAndGet(100)) {
      groups.joined = GroupStub.joined(5, Set.of(0));
      ownership.tick();
      groups.joined = GroupStub.joined(5, Set.of());
      other.tick();
      lastOrderMs = other.mayOrder(endpointIn(0)) ? now.get() : lastOrderMs;
      firstOrderMs = ownership.mayOrder(endpointIn(0)) ? now.get() : 0;
    }

    assertTrue(lastOrderMs >= reassignedMs, "no order after the reassignment");
    assertTrue(firstOrderMs - lastOrderMs >= node.settings().leaseMs(), firstOrderMs + " first");
  }

  /**
   * Guards against two VMs that order one endpoint with one fencing number, after the store has
   * come back from an older copy and has given out a generation again.
   */
  @Test
  @DisplayName("gives each fencing number to one VM when the store gives out a generation again")
  void generationGivenOutAgain() {
    groups.setMembers("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.setMembers("orders-east", Map.of());
    PartitionOwnership other =
        new PartitionOwnership(node, groups, peers, new QuotaEnforcer(node, peers, 2), FIRST);
    node.storeEra().observe(1);
    groups.joined = GroupStub.joined(1, 5, Set.of(0));
    other.tick();
    now.addAndGet(10_000);
    other.tick();
    assertTrue(other.mayOrder(endpointIn(0)));
    long numberBefore = other.fencingNumber();

    node.storeEra().observe(2);
    long restoredMs = now.get();
    long lastOrderMs = 0;
    long firstOrderMs = 0;
    for (; firstOrderMs == 0 && now.get() < restoredMs + 20_000; now.addAndGet(100)) {
      groups.joined = GroupStub.joined(2, 5, Set.of(0));
      ownership.tick();
      groups.joined = GroupStub.joined(2, 5, Set.of());
      other.tick();
      lastOrderMs = other.mayOrder(endpointIn(0)) ? now.get() : lastOrderMs;
      firstOrderMs = ownership.mayOrder(endpointIn(0)) ? now.get() : 0;
    }

    assertTrue(ownership.fencingNumber() > numberBefore, ownership.fencingNumber() + " again");
    assertTrue(firstOrderMs - lastOrderMs >= node.settings().leaseMs(), firstOrderMs + " first");
    assertTrue(firstOrderMs - restoredMs <= MAX_WITHOUT_ORDERS_MS, firstOrderMs + " first");
  }

  @Test
  @DisplayName("lets a VM go on at once that the store assigns its partitions in a new era")
  void keptInNewEra() {
    groups.setMembers("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.setMembers("orders-east", Map.of());
    node.storeEra().observe(1);
    groups.joined = GroupStub.joined(1, 5, Set.of(0));
    for (int i = 0; i < 10; i++) {
      ownership.tick();
      now.addAndGet(1_000);
    }
    assertTrue(ownership.mayOrder(endpointIn(0)));

    node.storeEra().observe(2);
    groups.joined = GroupStub.joined(2, 3, Set.of(0));
    ownership.tick();

    assertTrue(ownership.mayOrder(endpointIn(0)));
    assertTrue(
        ownership.fencingNumber() > GroupStub.joined(1, 5, Set.of()).generation().fencingNumber());
  }

  /** Returns the identity of an endpoint in a partition. */
  private String endpointIn(int partition) {
    return IntStream.range(0, 100)
        .mapToObj(i -> "e" + i)
        .filter(e -> Math.floorMod(Hashes.of(e), 2L) == partition)
        .findFirst()
        .orElseThrow();
  }

  @Test
  @DisplayName("has no holder for partitions that the store has not assigned")
  void unownedPartitions() {
    groups.setMembers("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.setMembers(
        "orders-east", Map.of(0, JOINED_TOGETHER + "|vm-3", 1, JOINED_TOGETHER + "|vm-3"));
    groups.joined = GroupStub.joined(1, Set.of());
    ownership.tick();
    assertEquals(Optional.of(JOINED_TOGETHER), ownership.holder("e", "east"));

    // The last VM of the failure domain has left its group.
    groups.setMembers("orders-east", Map.of(0, "", 1, ""));
    now.addAndGet(60_000);
    ownership.tick();

    assertEquals(Optional.empty(), ownership.holder("e", "east"));
  }
}
