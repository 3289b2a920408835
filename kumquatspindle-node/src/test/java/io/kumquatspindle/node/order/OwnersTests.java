package io.kumquatspindle.node.order;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import io.kumquatspindle.node.peer.PeerNetwork;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaController;
import io.kumquatspindle.node.port.RecordStore;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Owners of endpoints")
class OwnersTests {
  private static final String FIRST = "10.0.0.2:7600";
  private static final String SAME_TIME = "10.1.0.1:7600";

  private final AtomicLong now = new AtomicLong(1_000);
  private final NodeContext node = TestNodes.of(now, "west", "east");
  private final Peers peers = new Peers(node, new PeerNetwork(node, m -> {}));
  private final Groups groups = new Groups();
  private final Owners owners =
      new Owners(node, groups, peers, new QuotaController(node, peers, 1), TestNodes.SELF);

  @Test
  @DisplayName("learn the VMs that joined at the same time, once all hold partitions")
  void joinedTogether() {
    // As the store answers while it deals partitions: all are the first member's.
    groups.rows("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.rows("orders-east", Map.of(0, "10.1.0.2:7600|vm-4", 1, "10.1.0.2:7600|vm-4"));
    groups.joined = new RecordStore.Joined(1, Set.of());
    owners.tick();

    groups.rows("orders-west", Map.of(0, FIRST + "|vm-2", 1, TestNodes.SELF + "|vm"));
    groups.rows("orders-east", Map.of(0, "10.1.0.2:7600|vm-4", 1, SAME_TIME + "|vm-3"));
    groups.joined = new RecordStore.Joined(2, Set.of(1));
    now.addAndGet(1_000);
    owners.tick();

    assertEquals(Set.of(FIRST, "10.1.0.2:7600", SAME_TIME), Set.copyOf(peers.addresses()));
  }

  @Test
  @DisplayName("do not name a holder of partitions that the store has given to nobody")
  void nobody() {
    groups.rows("orders-west", Map.of(0, FIRST + "|vm-2", 1, FIRST + "|vm-2"));
    groups.rows("orders-east", Map.of(0, SAME_TIME + "|vm-3", 1, SAME_TIME + "|vm-3"));
    groups.joined = new RecordStore.Joined(1, Set.of());
    owners.tick();
    assertEquals(Optional.of(SAME_TIME), owners.holder("e", "east"));

    // The last VM of the failure domain has left its group.
    groups.rows("orders-east", Map.of(0, "", 1, ""));
    now.addAndGet(60_000);
    owners.tick();

    assertEquals(Optional.empty(), owners.holder("e", "east"));
  }

  /** Groups whose answers the test sets. */
  private static final class Groups implements RecordStore {
    private final Map<String, Map<Integer, String>> rows = new HashMap<>();
    private Joined joined;

    void rows(String group, Map<Integer, String> members) {
      rows.put(group, members);
    }

    @Override
    public void join(
        String group,
        String member,
        long generation,
        long ttlMs,
        Consumer<Optional<Joined>> answer) {
      answer.accept(Optional.of(joined));
    }

    @Override
    public void partitionOwners(String group, Consumer<Optional<Map<Integer, String>>> answer) {
      answer.accept(Optional.of(new HashMap<>(rows.get(group))));
    }

    @Override
    public void readLatest(Topic topic, Consumer<ReadResult> answer) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void read(Topic topic, long from, long waitMs, Consumer<ReadResult> answer) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void leave(String group, String member, Runnable done) {
      done.run();
    }

    @Override
    public int partitionCount() {
      return 2;
    }
  }
}
