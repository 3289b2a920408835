package io.kumquatspindle.node.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Counter;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Event log")
class EventLogTests {
  private final AtomicLong now = new AtomicLong();
  private final Counter dropped = new Counter();

  @Test
  @DisplayName("does not block when the reader stalls, and counts dropped lines")
  void doesNotBlockOnStalledReader() {
    CountDownLatch never = new CountDownLatch(1);
    OutputStream stalled =
        new OutputStream() {
          @Override
          public void write(int b) {
            Assertions.assertDoesNotThrow(() -> never.await());
          }

          @Override
          public void write(byte[] b, int from, int length) {
            write(0);
          }
        };
    EventLog log = new EventLog(stalled, now::get, "vm", dropped);
    int lines = 3 * EventLog.QUEUE_CAPACITY;

    Assertions.assertTimeoutPreemptively(
        Duration.ofSeconds(20),
        () -> {
          for (int i = 0; i < lines; i++) {
            now.addAndGet(1_000);
            log.line("refused").field("id", "r" + i).write();
          }
        });
    assertTrue(dropped.getCount() >= lines - EventLog.QUEUE_CAPACITY - 1);
  }

  @Test
  @DisplayName("limits the lines per event and reports the number of suppressed lines")
  void limitsLinesPerEvent() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    EventLog log = new EventLog(out, now::get, "vm", dropped);
    for (int i = 0; i < EventLog.MAX_LINES_PER_SECOND + 7; i++) {
      log.line("served").field("id", "r" + i).write();
    }
    now.set(1_000);
    log.line("served").field("id", "last").write();
    log.close();

    String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
    assertEquals(EventLog.MAX_LINES_PER_SECOND + 1, lines.length);
    assertTrue(lines[lines.length - 1].contains("\"suppressed\":7"));
    assertEquals(7, dropped.getCount());
  }
}
