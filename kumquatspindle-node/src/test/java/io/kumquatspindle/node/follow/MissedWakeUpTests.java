package io.kumquatspindle.node.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.NodeSettings;
import io.kumquatspindle.node.TestNodes;
import io.kumquatspindle.node.port.RecordStore;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against confirmed versions that come into force only when a long read ends. */
@DisplayName("A read that the store does not wake")
class MissedWakeUpTests {
  /** The longest wait of the landed code, in ms. */
  private static final long WAIT_MS = 2_500;

  private static final long PAUSE_MS = 150;

  private final AtomicLong now = new AtomicLong(1_000);
  private final EmbeddedChannel time = new EmbeddedChannel();
  private final NodeContext node =
      TestNodes.of(now, time.eventLoop(), OutputStream.nullOutputStream(), "west");
  private final TopicStandIn store = new TopicStandIn(time.eventLoop());
  private final List<String> seen = new ArrayList<>();
  private final Follower follower =
      new Follower(
          node, store, RecordStore.Topic.CONFIGURATION, WAIT_MS, PAUSE_MS, new Recorder(seen));

  @BeforeEach
  void start() {
    time.freezeTime();
    store.append("1");
    follower.read();
    pass(PAUSE_MS);
  }

  private void pass(long ms) {
    time.runPendingTasks();
    for (long i = 0; i < ms; i++) {
      now.incrementAndGet();
      time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      time.runScheduledPendingTasks();
      time.runPendingTasks();
    }
  }

  @Test
  @DisplayName("does not keep a version back that another VM tells of")
  void toldByPeer() {
    store.append("2");
    pass(40);
    follower.readNewer();
    pass(10);

    assertEquals(List.of("1", "2"), seen);
  }

  @Test
  @DisplayName("does not keep a version back for longer than it may, when no other VM tells of it")
  void toldByNobody() {
    NodeSettings settings = node.settings();
    Follower alone =
        new Follower(
            node,
            store,
            RecordStore.Topic.CONFIGURATION,
            settings.configurationLongPollMs(),
            PAUSE_MS,
            new Recorder(seen));
    alone.read();
    pass(PAUSE_MS);
    seen.clear();
    store.append("2");
    pass(settings.configurationMs() - 1);

    assertEquals(List.of("2"), seen);
  }

  @Test
  @DisplayName("brings nothing twice when it ends after a newer one")
  void endsLater() {
    store.append("2");
    pass(40);
    follower.readNewer();
    store.append("3");
    pass(2 * WAIT_MS);

    assertEquals(List.of("1", "2", "3"), seen);
  }

  @Test
  @DisplayName("is not followed by more than a few others, however often VMs tell of a version")
  void toldOften() {
    store.silence();
    for (int i = 0; i < 50; i++) {
      follower.readNewer();
      pass(20);
    }

    assertTrue(store.waits().size() <= 5, store.waits().toString());
    assertEquals(1, store.waits().stream().filter(w -> w == 0).count());
  }

  /** Keeps what was read, in order. */
  private record Recorder(List<String> seen) implements Follower.Listener {
    @Override
    public void all(List<RecordStore.KeyedRecord> records) {
      records.forEach(this::one);
    }

    @Override
    public void one(RecordStore.KeyedRecord record) {
      seen.add(new String(record.value().orElseThrow(), StandardCharsets.UTF_8));
    }

    @Override
    public void confirmed() {}

    @Override
    public void regained(long afterMs) {}
  }
}
