package io.kumquatspindle.node.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.node.ManualLoop;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import io.kumquatspindle.node.port.MalformedRecordException;
import io.kumquatspindle.node.port.RecordDecoder;
import io.kumquatspindle.node.port.RecordStore;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against an evacuation that a VM learns of too late, or that it forgets while the store is
 * unavailable.
 */
@DisplayName("The evacuation of a failure domain")
class EvacuationRecordsTests {
  private static final long READ_DELAY_MS = 150;
  private static final Optional<byte[]> VALUE = Optional.of("{}".getBytes(StandardCharsets.UTF_8));

  private final ManualLoop time = new ManualLoop();
  private final NodeContext node = time.node();
  private final FakeTopicStore store = new FakeTopicStore(time.loop());
  private final TopicReader reader =
      new TopicReader(
          node,
          store,
          RecordStore.Topic.CONFIGURATION,
          node.settings().configurationLongPollMs(),
          READ_DELAY_MS,
          new FleetStateUpdater(node, new Decoder(), c -> {}).configurationRecordListener());

  private static final class Decoder implements RecordDecoder {
    @Override
    public boolean isConfiguration(String key) {
      return false;
    }

    @Override
    public Optional<String> evacuatedDomain(String key) {
      return key.startsWith("e/") ? Optional.of(key.substring(2)) : Optional.empty();
    }

    @Override
    public FleetConfiguration decodeConfiguration(byte[] value) throws MalformedRecordException {
      throw new MalformedRecordException("no configuration");
    }

    @Override
    public EndpointEntry decodeEndpoint(String id, byte[] value) throws MalformedRecordException {
      throw new MalformedRecordException("no endpoint");
    }
  }

  @BeforeEach
  void start() {
    node.endpoints().put(TestNodes.entry("i-1", "west", 5), 0);
    node.endpoints().put(TestNodes.entry("i-2", "east", 5), 0);
    store.append("other", VALUE);
  }

  private long changes(String change) {
    return node.metrics()
        .counter(MetricsText.name("evacuations_total", "change", change))
        .getCount();
  }

  private int available() {
    return node.endpoints().available("s").size();
  }

  @Test
  @DisplayName("is in force in time although the store does not complete the waiting read")
  void missedWakeUp() {
    reader.read();
    time.advance(10 * READ_DELAY_MS);
    store.append("e/west", VALUE);
    time.advance(node.settings().evacuateMs() - 1);

    assertEquals(1, available());
    store.append("e/west", Optional.empty());
    time.advance(node.settings().evacuateMs() - 1);
    assertEquals(2, available());
    assertEquals(1, changes("begun"));
    assertEquals(1, changes("ended"));
  }

  @Test
  @DisplayName("is in force with the first read of a VM that starts")
  void presentAtStart() {
    store.append("e/west", VALUE);
    store.append("e/east", VALUE);
    reader.read();
    time.advance(1);

    assertEquals(0, available());
  }

  @Test
  @DisplayName("stays in force while the store is unavailable")
  void storeUnavailable() {
    store.append("e/west", VALUE);
    reader.read();
    time.advance(READ_DELAY_MS);
    store.setFailing(true);
    time.advance(60_000);

    assertEquals(1, available());
  }

  /** Brings the store back from a copy that was made before the last records. */
  private void restore(int lostRecords) {
    store.loseNewest(lostRecords);
    node.storeEra().observe(node.storeEra().current() + 1);
  }

  @Test
  @DisplayName("stays in force when the store comes back from a copy of before it began")
  void begunSinceCopy() {
    node.storeEra().observe(1);
    reader.read();
    time.advance(READ_DELAY_MS);
    store.append("e/west", VALUE);
    time.advance(node.settings().evacuateMs());
    restore(1);
    time.advance(1_500);
    assertEquals(1, available());
    store.append("e/west", VALUE);
    time.advance(node.settings().evacuateMs());

    assertEquals(1, available());
    assertEquals(1, changes("begun"));
    assertEquals(0, changes("ended"));
  }

  @Test
  @DisplayName("ends if nobody writes its record again after that")
  void notWrittenAgain() {
    node.storeEra().observe(1);
    reader.read();
    time.advance(READ_DELAY_MS);
    store.append("e/west", VALUE);
    time.advance(node.settings().evacuateMs());
    restore(1);
    time.advance(node.settings().evacuateMs());

    assertEquals(2, available());
  }

  @Test
  @DisplayName("ends when a VM that missed the deletion reads a snapshot without the key")
  void missedDeletion() {
    store.append("e/west", VALUE);
    reader.read();
    time.advance(READ_DELAY_MS);
    store.setFailing(true);
    time.advance(5_000);
    store.append("e/west", Optional.empty());
    store.append("e/east", VALUE);
    store.setFailing(false);
    time.advance(node.settings().evacuateMs() - 1);

    assertEquals(
        List.of("i-1"), node.endpoints().available("s").stream().map(e -> e.id()).toList());
  }
}
