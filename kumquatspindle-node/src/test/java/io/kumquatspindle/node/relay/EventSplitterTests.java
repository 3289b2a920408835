package io.kumquatspindle.node.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Event splitter")
class EventSplitterTests {
  private static final int LARGE_EVENT_BYTES = 250_000;

  private final EventSplitter splitter = new EventSplitter();

  @Test
  @DisplayName(
      "holds back an incomplete event, so that a stream can be resumed after the last complete one")
  void holdsBackPartialEvent() {
    assertEquals("id: 1\ndata: a\n\n", append("id: 1\ndata: a\n\nid: 2\nda"));
    assertEquals(Optional.of("1"), splitter.lastId());

    splitter.discardPartialEvent();
    assertEquals("id: 2\ndata: b\n\n", append("id: 2\ndata: b\n\n"));
    assertEquals(Optional.of("2"), splitter.lastId());
  }

  @Test
  @DisplayName("returns complete events when the bytes arrive one at a time")
  void acceptsArbitraryFragments() {
    StringBuilder all = new StringBuilder();
    for (char c : "id: 7\r\ndata: x\r\n\r\nid: 8\r\ndata: y\r\n\r\n".toCharArray()) {
      all.append(append(String.valueOf(c)));
    }

    assertEquals("id: 7\r\ndata: x\r\n\r\nid: 8\r\ndata: y\r\n\r\n", all.toString());
    assertEquals(Optional.of("8"), splitter.lastId());
  }

  @Test
  @DisplayName("returns the bytes after the last event when the stream has ended")
  void returnsRemainderAtEnd() {
    append("id: 1\ndata: a\n\n: bye");

    assertEquals(": bye", splitter.remainder().toString(StandardCharsets.UTF_8));
  }

  /** Guards against one stream that keeps the event loop busy for seconds. */
  @Test
  @DisplayName("looks at each byte a bounded number of times, however small the parts are")
  void searchesNewBytesOnly() {
    ByteBuf part = Unpooled.copiedBuffer("x", StandardCharsets.UTF_8);
    assertTimeoutPreemptively(
        Duration.ofSeconds(5),
        () -> {
          for (int i = 0; i < LARGE_EVENT_BYTES; i++) {
            assertEquals(0, splitter.append(part.duplicate()).readableBytes());
          }
        });
    assertEquals(LARGE_EVENT_BYTES + 2, append("\n\n").length());
  }

  private String append(String text) {
    ByteBuf events = splitter.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return events.toString(StandardCharsets.UTF_8);
  }
}
