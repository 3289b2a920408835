package io.kumquatspindle.engine.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.record.SnapshotChunk;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Snapshots")
class SnapshotsTests {
  private final SnapshotCollector collector = new SnapshotCollector();
  private long offset;

  @Test
  @DisplayName("keep every record within the size limit and restore the state")
  void size() {
    String state =
        new Random(1)
            .ints(700_000, 32, 127)
            .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
            .toString();
    List<SnapshotChunk> chunks = Snapshots.split(StreamName.SHARES, 9, "i".repeat(128), state);
    assertTrue(chunks.stream().allMatch(c -> Json.encode(c).length <= Snapshots.MAX_RECORD_BYTES));
    chunks.forEach(this::accept);
    Snapshot s = collector.newest(StreamName.SHARES).orElseThrow();
    assertEquals(Optional.of(state), s.decode(String.class));
    assertEquals(9, s.offset());
  }

  // Several VMs may write at the same time, and one may die before it has written every chunk.
  @Test
  @DisplayName("are separated when their chunks interleave, and an incomplete one is not returned")
  void interleaved() {
    List<SnapshotChunk> a = Snapshots.split(StreamName.TICKETS, 5, "a", "x".repeat(500_000));
    List<SnapshotChunk> b = Snapshots.split(StreamName.TICKETS, 6, "b", "y".repeat(500_000));
    List<SnapshotChunk> dead = Snapshots.split(StreamName.TICKETS, 7, "c", "z".repeat(500_000));
    for (int i = 0; i < a.size(); i++) {
      accept(a.get(i));
      accept(b.get(i));
      if (i > 0) {
        accept(dead.get(i));
      }
    }
    assertEquals("b", collector.newest(StreamName.TICKETS).orElseThrow().id());
    assertEquals(Optional.empty(), collector.newest(StreamName.DECISIONS));
  }

  @Test
  @DisplayName("replace one with the same offset, but never one with a higher offset")
  void newest() {
    Snapshots.split(StreamName.TICKETS, 5, "a", 1).forEach(this::accept);
    Snapshots.split(StreamName.TICKETS, 4, "b", 1).forEach(this::accept);
    assertEquals("a", collector.newest(StreamName.TICKETS).orElseThrow().id());
    Snapshots.split(StreamName.TICKETS, 5, "c", 1).forEach(this::accept);
    assertEquals("c", collector.newest(StreamName.TICKETS).orElseThrow().id());
  }

  @Test
  @DisplayName("stay readable after malformed records and many writers that died")
  void malformedRecords() {
    collector.accept(new LogRecord(0, 0, new byte[] {1}));
    accept(new SnapshotChunk("tickets", 1, "n", 5, 2, new byte[0]));
    accept(new SnapshotChunk("tickets", 1, "n", 0, Integer.MAX_VALUE, new byte[0]));
    for (int i = 0; i < 100; i++) {
      accept(new SnapshotChunk("tickets", 9, "dead" + i, 0, 2, new byte[10]));
    }
    Snapshots.split(StreamName.TICKETS, 5, "a", 1).forEach(this::accept);
    assertEquals("a", collector.newest(StreamName.TICKETS).orElseThrow().id());
  }

  @Test
  @DisplayName("are due after half of the retention time plus the jitter")
  void schedule() {
    SnapshotSchedule s = new SnapshotSchedule(Duration.ofMillis(1000), 0.5);
    assertEquals(10_550, s.dueAtMs(OptionalLong.of(10_000), 0));
    assertEquals(550, s.dueAtMs(OptionalLong.empty(), 0));
    assertEquals(50, s.delayMs(OptionalLong.of(10_000), 0, 10_500));
    assertEquals(0, s.delayMs(OptionalLong.of(10_000), 0, 20_000));
  }

  private void accept(SnapshotChunk chunk) {
    collector.accept(new LogRecord(offset++, offset * 1000, Json.encode(chunk)));
  }
}
