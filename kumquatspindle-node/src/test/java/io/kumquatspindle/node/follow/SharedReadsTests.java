package io.kumquatspindle.node.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.node.ManualLoop;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.PeerTransport;
import io.kumquatspindle.node.port.RecordStore;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against two failures: each VM of a large fleet reads the same records from the store, and
 * a VM that relies on the reads of another one misses records when that one fails.
 */
@DisplayName("VMs of a failure domain that share their reads")
class SharedReadsTests {
  private static final int VMS = 8;
  private static final long READ_DELAY_MS = 1_300;
  private static final long SILENCE_MS = READ_DELAY_MS + 400;

  /** Time within which requests must stop going to an endpoint that leaves, in ms. */
  private static final long DRAIN_MS = 3_000;

  /** Time within which requests must stop going to a failure domain that is evacuated, in ms. */
  private static final long EVACUATE_MS = 5_000;

  private final ManualLoop time = new ManualLoop();
  private final List<RecordStore.KeyedRecord> records = new ArrayList<>();
  private final Map<String, Vm> vms = new HashMap<>();
  private long era = 1;

  private final class Vm implements PeerTransport, TopicListener {
    private final String address;
    private final FakeTopicStore store = new FakeTopicStore(time.loop(), records);
    private final List<String> received = new ArrayList<>();
    private final List<Long> outages = new ArrayList<>();
    private final TopicReader reader;
    private boolean silent;
    private int updatesSent;

    private Vm(String address, RecordStore.Topic topic) {
      this.address = address;
      NodeContext node = time.node();
      store.beforeResponse(() -> node.storeEra().observe(era));
      reader = new TopicReader(node, store, topic, 0, READ_DELAY_MS, this);
      reader.shareReads(new TopicRelay(node, topic, SILENCE_MS, this, () -> others(address)), 0);
    }

    @Override
    public String self() {
      return address;
    }

    @Override
    public void send(Collection<String> addresses, NodeMessage message) {
      updatesSent++;
      if (!silent) {
        NodeMessage.TopicUpdate update = (NodeMessage.TopicUpdate) message;
        addresses.forEach(a -> time.loop().execute(() -> vms.get(a).reader.onUpdate(update)));
      }
    }

    @Override
    public void reset(String peer) {}

    @Override
    public void onSnapshot(List<RecordStore.KeyedRecord> snapshot) {
      snapshot.forEach(this::onRecord);
    }

    @Override
    public void onRecord(RecordStore.KeyedRecord record) {
      received.add(record.key());
    }

    @Override
    public void onConfirmed() {}

    @Override
    public void onRecovered(long outageMs) {
      outages.add(outageMs);
    }
  }

  private List<String> others(String address) {
    return vms.keySet().stream().filter(a -> !a.equals(address)).toList();
  }

  private void start(RecordStore.Topic topic) {
    write("first");
    for (int i = 1; i <= VMS; i++) {
      vms.put("10.0.0." + i + ":7600", new Vm("10.0.0." + i + ":7600", topic));
    }
    vms.values().forEach(vm -> vm.reader.read());
    time.advance(5_000);
  }

  private void write(String key) {
    byte[] value = "v".getBytes(StandardCharsets.UTF_8);
    records.add(new RecordStore.KeyedRecord(key, Optional.of(value)));
  }

  private int reads() {
    return vms.values().stream().mapToInt(vm -> vm.store.waits().size()).sum();
  }

  private Vm reader() {
    Vm first = vms.values().iterator().next();
    for (Vm vm : vms.values()) {
      first = vm.updatesSent > first.updatesSent ? vm : first;
    }
    return first;
  }

  /** Ends the VM that reads for the others; returns the others. */
  private List<Vm> endReader() {
    Vm reader = reader();
    reader.silent = true;
    reader.store.stopAnswering();
    time.advance(1);
    return vms.values().stream().filter(vm -> vm != reader).toList();
  }

  private void assertAllReceived(List<String> expected, Collection<Vm> receivers) {
    receivers.forEach(vm -> assertEquals(expected, vm.received, vm.address));
  }

  @Test
  @DisplayName("read each record from the store once")
  void oneReads() {
    start(RecordStore.Topic.ENDPOINTS);
    int before = reads();
    for (int i = 0; i < 10; i++) {
      write("e" + i);
      time.advance(1_000);
    }
    time.advance(SILENCE_MS);

    assertEquals(11, vms.values().iterator().next().received.size());
    assertAllReceived(vms.values().iterator().next().received, vms.values());
    long ownReads = (10_000 + SILENCE_MS) / READ_DELAY_MS + 1;
    assertTrue(reads() - before <= ownReads, reads() - before + " reads in 12 s");
  }

  @Test
  @DisplayName("learn in time of an endpoint that leaves when the reader has ended")
  void readerEnds() {
    start(RecordStore.Topic.ENDPOINTS);
    List<Vm> others = endReader();
    write("leaves");
    time.advance(DRAIN_MS);

    assertAllReceived(List.of("first", "leaves"), others);
    int before = reads();
    time.advance(10 * READ_DELAY_MS);
    assertTrue(reads() - before <= 12, reads() - before + " reads after the takeover");
  }

  @Test
  @DisplayName("get the records of the others while the store turns them away")
  void readerTurnedAway() {
    start(RecordStore.Topic.ENDPOINTS);
    Vm reader = reader();
    reader.store.setFailing(true);
    time.advance(2 * SILENCE_MS);
    write("e1");
    time.advance(DRAIN_MS);

    assertAllReceived(List.of("first", "e1"), vms.values());
  }

  @Test
  @DisplayName("learn in time of an endpoint that leaves while the store deletes its history")
  void historyDeleted() {
    start(RecordStore.Topic.ENDPOINTS);
    for (int i = 0; i < 5; i++) {
      write("e" + i);
      vms.values().forEach(vm -> vm.store.deleteHistory());
      time.advance(READ_DELAY_MS);
    }
    time.advance(DRAIN_MS - READ_DELAY_MS);

    vms.values().forEach(vm -> assertTrue(vm.received.contains("e4"), vm.address));
  }

  @Test
  @DisplayName("read by themselves when the updates do not reach them")
  void updatesLost() {
    start(RecordStore.Topic.ENDPOINTS);
    reader().silent = true;
    for (int i = 0; i < 5; i++) {
      write("e" + i);
      time.advance(1_000);
    }
    time.advance(DRAIN_MS);

    assertAllReceived(List.of("first", "e0", "e1", "e2", "e3", "e4"), vms.values());
  }

  @Test
  @DisplayName("learn of an outage of the store that only the reader has seen")
  void outage() {
    start(RecordStore.Topic.ENDPOINTS);
    Vm reader = reader();
    reader.store.setFailing(true);
    time.advance(READ_DELAY_MS + 100);
    reader.store.setFailing(false);
    time.advance(DRAIN_MS);

    for (Vm vm : vms.values()) {
      assertEquals(1, vm.outages.size(), vm.address);
    }
  }

  @Test
  @DisplayName("learn of an evacuation in time when the reader has ended")
  void evacuationWithoutReader() {
    start(RecordStore.Topic.CONFIGURATION);
    List<Vm> others = endReader();
    write("evacuation");
    time.advance(EVACUATE_MS);

    // A snapshot also lists the keys that were known before.
    others.forEach(vm -> assertTrue(vm.received.contains("evacuation"), vm.address));
  }

  /**
   * Guards against records that VMs miss when the store has come back from an older copy, since
   * their offsets were known from records that the store has lost.
   */
  @Nested
  @DisplayName("when the store has come back from an older copy")
  class RestoredStore {
    private static final int LOST = 3;

    private void restore() {
      era++;
      records.subList(records.size() - LOST, records.size()).clear();
    }

    private void startAndLoseRecords(RecordStore.Topic topic) {
      start(topic);
      for (int i = 0; i < LOST; i++) {
        write("lost" + i);
      }
      time.advance(DRAIN_MS);
      vms.values().forEach(vm -> assertTrue(vm.received.contains("lost2"), vm.address));
      restore();
    }

    private void assertAllHave(String key) {
      vms.values().forEach(vm -> assertTrue(vm.received.contains(key), vm.address + " " + key));
    }

    @Test
    @DisplayName("receive records with offsets that they have read before")
    void offsetsGivenOutAgain() {
      startAndLoseRecords(RecordStore.Topic.ENDPOINTS);
      write("new0");
      time.advance(DRAIN_MS);

      assertAllHave("new0");
    }

    @Test
    @DisplayName("receive them if the new records have passed the offsets before the next read")
    void offsetsPassed() {
      startAndLoseRecords(RecordStore.Topic.ENDPOINTS);
      for (int i = 0; i <= LOST; i++) {
        write("new" + i);
      }
      time.advance(DRAIN_MS);

      for (int i = 0; i <= LOST; i++) {
        assertAllHave("new" + i);
      }
    }

    @Test
    @DisplayName("receive a new configuration although the topic has fewer records than before")
    void configuration() {
      startAndLoseRecords(RecordStore.Topic.CONFIGURATION);
      write("new0");
      time.advance(DRAIN_MS);

      assertAllHave("new0");
    }

    @Test
    @DisplayName("receive the records of the others while the store turns them away")
    void turnedAway() {
      startAndLoseRecords(RecordStore.Topic.ENDPOINTS);
      Vm reader = reader();
      vms.values().stream().filter(vm -> vm != reader).forEach(vm -> vm.store.setFailing(true));
      time.advance(DRAIN_MS);
      write("new0");
      time.advance(DRAIN_MS);

      assertAllHave("new0");
    }

    @Test
    @DisplayName("ignore updates of the previous era that arrive late")
    void lateUpdate() {
      startAndLoseRecords(RecordStore.Topic.ENDPOINTS);
      time.advance(DRAIN_MS);
      RecordStore.KeyedRecord late = new RecordStore.KeyedRecord("late", Optional.empty());
      Vm vm = vms.values().iterator().next();
      vm.reader.onUpdate(
          new NodeMessage.TopicUpdate(
              "10.0.0.9:7600", RecordStore.Topic.ENDPOINTS, 1, 1, 2, 2, 0, List.of(late)));
      time.advance(DRAIN_MS);

      assertTrue(!vm.received.contains("late"));
    }

    @Test
    @DisplayName("read one snapshot each, and then share their reads again")
    void snapshots() {
      startAndLoseRecords(RecordStore.Topic.ENDPOINTS);
      int before = vms.values().stream().mapToInt(vm -> vm.store.newestReads()).sum();
      time.advance(DRAIN_MS);
      int snapshots = vms.values().stream().mapToInt(vm -> vm.store.newestReads()).sum() - before;
      assertEquals(VMS, snapshots);

      int readsBefore = reads();
      time.advance(10 * READ_DELAY_MS);
      assertTrue(reads() - readsBefore <= 12, reads() - readsBefore + " reads afterwards");
    }
  }

  @Test
  @DisplayName("read a new configuration themselves, once each")
  void configuration() {
    start(RecordStore.Topic.CONFIGURATION);
    int before = vms.values().stream().mapToInt(vm -> vm.store.newestReads()).sum();
    write("first");
    time.advance(SILENCE_MS);

    assertAllReceived(List.of("first", "first"), vms.values());
    int newestReads = vms.values().stream().mapToInt(vm -> vm.store.newestReads()).sum() - before;
    assertTrue(newestReads <= VMS, newestReads + " reads of the newest record");
  }
}
