package io.kumquatspindle.node.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Splitter of event streams")
class EventSplitterTests {
  private final EventSplitter splitter = new EventSplitter();

  @Test
  @DisplayName(
      "holds back the part of an event, so that a stream can go on after the last whole one")
  void tornEvent() {
    assertEquals("id: 1\ndata: a\n\n", take("id: 1\ndata: a\n\nid: 2\nda"));
    assertEquals(Optional.of("1"), splitter.lastId());

    splitter.dropTail();
    assertEquals("id: 2\ndata: b\n\n", take("id: 2\ndata: b\n\n"));
    assertEquals(Optional.of("2"), splitter.lastId());
  }

  @Test
  @DisplayName("passes on several events and bytes that come one at a time")
  void pieces() {
    StringBuilder all = new StringBuilder();
    for (char c : "id: 7\r\ndata: x\r\n\r\nid: 8\r\ndata: y\r\n\r\n".toCharArray()) {
      all.append(take(String.valueOf(c)));
    }

    assertEquals("id: 7\r\ndata: x\r\n\r\nid: 8\r\ndata: y\r\n\r\n", all.toString());
    assertEquals(Optional.of("8"), splitter.lastId());
  }

  @Test
  @DisplayName("gives what follows the last event when the stream has ended")
  void rest() {
    take("id: 1\ndata: a\n\n: bye");

    assertEquals(": bye", splitter.rest().toString(StandardCharsets.UTF_8));
  }

  private String take(String text) {
    ByteBuf events = splitter.take(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return events.toString(StandardCharsets.UTF_8);
  }
}
