package io.kumquatspindle.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries and keeps the id of the last complete
 * event, so that a stream that fails within an event can be resumed after the last complete one.
 */
public final class EventSplitter {
  private final ByteBuf buffer = Unpooled.buffer();
  private Optional<String> lastId = Optional.empty();

  /**
   * Appends bytes of the stream.
   *
   * @param data the bytes
   * @return the events that are now complete, possibly none; released by the caller
   */
  public ByteBuf append(ByteBuf data) {
    buffer.writeBytes(data);
    int end = completeLength();
    if (end == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = buffer.readBytes(end);
    buffer.discardReadBytes();
    updateLastId(events);
    return events;
  }

  /** Discards the incomplete event of a stream that has failed. */
  public void discardPartialEvent() {
    buffer.clear();
  }

  /**
   * Returns the bytes after the last complete event. To be called when the stream has ended.
   *
   * @return the bytes; released by the caller
   */
  public ByteBuf remainder() {
    return buffer.readBytes(buffer.readableBytes());
  }

  /**
   * Returns the id of the last complete event that had one.
   *
   * @return the id, or empty if no event had one
   */
  public Optional<String> lastId() {
    return lastId;
  }

  private int completeLength() {
    for (int i = buffer.writerIndex() - 1; i > buffer.readerIndex(); i--) {
      if (buffer.getByte(i) != '\n') {
        continue;
      }
      int before = buffer.getByte(i - 1) == '\r' ? i - 2 : i - 1;
      if (before >= buffer.readerIndex() && buffer.getByte(before) == '\n') {
        return i + 1 - buffer.readerIndex();
      }
    }
    return 0;
  }

  private void updateLastId(ByteBuf events) {
    String text = events.toString(StandardCharsets.UTF_8);
    int at = Math.max(text.lastIndexOf("\nid:"), text.startsWith("id:") ? 0 : -1);
    if (at >= 0) {
      int from = text.indexOf(':', at) + 1;
      int to = text.indexOf('\n', from);
      lastId = Optional.of(text.substring(from, to < 0 ? text.length() : to).strip());
    }
  }
}
