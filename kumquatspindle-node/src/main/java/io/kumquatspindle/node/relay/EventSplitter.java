package io.kumquatspindle.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Passes on whole server-sent events only and remembers the id of the last one, so that a stream
 * that breaks off inside an event can go on after the last whole one.
 */
public final class EventSplitter {
  private final ByteBuf tail = Unpooled.buffer();
  private Optional<String> lastId = Optional.empty();

  /**
   * Takes bytes of a stream.
   *
   * @param data the bytes
   * @return the whole events that are complete now, perhaps none; the caller releases it
   */
  public ByteBuf take(ByteBuf data) {
    tail.writeBytes(data);
    int end = endOfEvents();
    if (end == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = tail.readBytes(end);
    tail.discardReadBytes();
    noteLastId(events);
    return events;
  }

  /** Forgets the part of an event that has arrived, as its stream has broken off. */
  public void dropTail() {
    tail.clear();
  }

  /**
   * Returns the bytes after the last whole event; the stream has ended completely.
   *
   * @return the bytes; the caller releases them
   */
  public ByteBuf rest() {
    return tail.readBytes(tail.readableBytes());
  }

  /**
   * Returns the id of the last whole event.
   *
   * @return the id, if an event had one
   */
  public Optional<String> lastId() {
    return lastId;
  }

  private int endOfEvents() {
    for (int i = tail.writerIndex() - 1; i > tail.readerIndex(); i--) {
      if (tail.getByte(i) != '\n') {
        continue;
      }
      int before = tail.getByte(i - 1) == '\r' ? i - 2 : i - 1;
      if (before >= tail.readerIndex() && tail.getByte(before) == '\n') {
        return i + 1 - tail.readerIndex();
      }
    }
    return 0;
  }

  private void noteLastId(ByteBuf events) {
    String text = events.toString(StandardCharsets.UTF_8);
    int at = Math.max(text.lastIndexOf("\nid:"), text.startsWith("id:") ? 0 : -1);
    if (at >= 0) {
      int from = text.indexOf(':', at) + 1;
      int to = text.indexOf('\n', from);
      lastId = Optional.of(text.substring(from, to < 0 ? text.length() : to).strip());
    }
  }
}
