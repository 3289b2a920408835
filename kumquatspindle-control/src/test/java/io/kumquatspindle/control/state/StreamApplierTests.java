package io.kumquatspindle.control.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.platform.LogRecord;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("StreamApplier")
class StreamApplierTests {
  private final TextStateMachine stateMachine = new TextStateMachine();
  private final StreamApplier applier = new StreamApplier(stateMachine);

  private static List<LogRecord> records(long from, long to) {
    return LongStream.range(from, to)
        .mapToObj(o -> new LogRecord(o, o, Long.toString(o).getBytes(StandardCharsets.UTF_8)))
        .toList();
  }

  @Nested
  @DisplayName("when records are received from the log and from peers")
  class Records {

    @Test
    @DisplayName("applies the record at each offset exactly once, regardless of its source")
    void appliesOnce() {
      assertEquals(3, applier.apply(records(0, 3)));
      assertEquals(2, applier.apply(records(1, 5)));
      assertEquals("01234", stateMachine.text);
    }

    @Test
    @DisplayName("stops at a gap and continues when the missing records are received")
    void stopsAtGap() {
      applier.apply(records(2, 4));
      assertTrue(applier.hasGap());
      assertEquals("", stateMachine.text);
      applier.apply(records(0, 4));
      assertFalse(applier.hasGap());
      assertEquals("0123", stateMachine.text);
    }

    @Test
    @DisplayName("returns recent records only if the first requested one is still kept")
    void returnsRecentRecords() {
      applier.apply(records(0, 2_000));
      assertEquals(List.of(), applier.recentRecordsFrom(5));
      assertEquals(10, applier.recentRecordsFrom(1_990).size());
    }
  }

  @Nested
  @DisplayName("when a snapshot is received")
  class Snapshots {

    @Test
    @DisplayName("restores it only if it is newer, so that the state never reverts")
    void neverReverts() {
      applier.apply(records(0, 4));
      assertFalse(applier.restore(3, "old".getBytes(StandardCharsets.UTF_8)));
      assertFalse(applier.restore(4, "same".getBytes(StandardCharsets.UTF_8)));
      assertTrue(applier.restore(9, "new".getBytes(StandardCharsets.UTF_8)));
      assertEquals("new", stateMachine.text);
      assertEquals(9, applier.nextOffset());
    }

    @Test
    @DisplayName("fills a gap caused by the log's retention limit")
    void closesGap() {
      applier.updateEarliestOffset(7);
      assertTrue(applier.hasGap());
      applier.restore(8, "x".getBytes(StandardCharsets.UTF_8));
      assertFalse(applier.hasGap());
      assertEquals(1, applier.apply(records(7, 9)));
    }
  }

  private static final class TextStateMachine implements StreamStateMachine {
    private String text = "";
    private long next;

    @Override
    public long nextOffset() {
      return next;
    }

    @Override
    public void apply(LogRecord r) {
      text += new String(r.value(), StandardCharsets.UTF_8);
      next = r.offset() + 1;
    }

    @Override
    public byte[] state() {
      return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(long offset, byte[] state) {
      text = new String(state, StandardCharsets.UTF_8);
      next = offset;
    }
  }
}
