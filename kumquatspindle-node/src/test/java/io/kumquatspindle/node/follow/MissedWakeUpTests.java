package io.kumquatspindle.node.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.node.ManualLoop;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.NodeSettings;
import io.kumquatspindle.node.port.RecordStore;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against a confirmed configuration that comes into force only when a long read times out,
 * because the store did not complete the read when the configuration was written.
 */
@DisplayName("A read that the store does not complete on a write")
class MissedWakeUpTests {
  /** Longest wait of a read in the code that had the fault, in ms. */
  private static final long WAIT_MS = 2_500;

  private static final long READ_DELAY_MS = 150;

  private final ManualLoop time = new ManualLoop();
  private final NodeContext node = time.node();
  private final FakeTopicStore store = new FakeTopicStore(time.loop());
  private final List<String> received = new ArrayList<>();
  private final TopicReader reader =
      new TopicReader(
          node,
          store,
          RecordStore.Topic.CONFIGURATION,
          WAIT_MS,
          READ_DELAY_MS,
          new RecordingListener(received));

  @BeforeEach
  void start() {
    store.append("1");
    reader.read();
    time.advance(READ_DELAY_MS);
  }

  @Test
  @DisplayName("does not delay a version that a peer reports")
  void peerReportsVersion() {
    store.append("2");
    time.advance(40);
    reader.readImmediately();
    time.advance(10);

    assertEquals(List.of("1", "2"), received);
  }

  @Test
  @DisplayName("does not delay a version beyond the time limit when no peer reports it")
  void noPeerReport() {
    NodeSettings settings = node.settings();
    TopicReader unassisted =
        new TopicReader(
            node,
            store,
            RecordStore.Topic.CONFIGURATION,
            settings.configurationLongPollMs(),
            READ_DELAY_MS,
            new RecordingListener(received));
    unassisted.read();
    time.advance(READ_DELAY_MS);
    received.clear();
    store.append("2");
    time.advance(settings.configurationMs() - 1);

    assertEquals(List.of("2"), received);
  }

  @Test
  @DisplayName("delivers no record twice when it ends after an immediate read")
  void lateAnswerIgnored() {
    store.append("2");
    time.advance(40);
    reader.readImmediately();
    time.advance(10);
    store.append("3");
    time.advance(2 * WAIT_MS);

    assertEquals(List.of("1", "2", "3"), received);
  }

  @Test
  @DisplayName("that failed is followed by one of the newest version, not of each missed version")
  void skipsMissedVersions() {
    store.setFailing(true);
    time.advance(WAIT_MS);
    for (int i = 2; i <= 20; i++) {
      store.append(String.valueOf(i));
    }
    int before = store.recordsRead();
    store.setFailing(false);
    time.advance(1_000);

    assertEquals(List.of("1", "20"), received);
    assertEquals(1, store.recordsRead() - before);
    store.append("21");
    time.advance(WAIT_MS + READ_DELAY_MS);
    assertEquals(List.of("1", "20", "21"), received);
  }

  @Test
  @DisplayName("is not followed by more than a few others, however often peers report a version")
  void repeatedPeerReports() {
    int newestReads = store.newestReads();
    store.stopAnswering();
    for (int i = 0; i < 50; i++) {
      reader.readImmediately();
      time.advance(20);
    }

    assertTrue(store.waits().size() <= 5, store.waits().toString());
    assertEquals(1, store.newestReads() - newestReads);
  }

  /** Records the values that were read, in order. */
  private record RecordingListener(List<String> seen) implements TopicListener {
    @Override
    public void onSnapshot(List<RecordStore.KeyedRecord> records) {
      records.forEach(this::onRecord);
    }

    @Override
    public void onRecord(RecordStore.KeyedRecord record) {
      seen.add(new String(record.value().orElseThrow(), StandardCharsets.UTF_8));
    }

    @Override
    public void onConfirmed() {}

    @Override
    public void onRecovered(long outageMs) {}
  }
}
