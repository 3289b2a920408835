package io.kumquatspindle.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries. Keeps the id of the last complete
 * event, so that a stream that fails within an event can be resumed after the last complete one,
 * and counts the events, so that bytes that make up no event are not taken for progress.
 */
public final class EventSplitter {
  /** Largest event, in bytes. An endpoint that sends more without a boundary sends no events. */
  private static final int MAX_EVENT_BYTES = 256 * 1024;

  private final ByteBuf buffer = Unpooled.buffer();
  private Optional<String> lastId = Optional.empty();
  private long eventCount;

  /**
   * Appends bytes of the stream.
   *
   * @param data the bytes
   * @return the events that are now complete, possibly none; released by the caller
   * @throws IllegalStateException if an event is too large
   */
  public ByteBuf append(ByteBuf data) {
    int searched = buffer.writerIndex();
    buffer.writeBytes(data);
    int end = completeLength(searched);
    if (buffer.readableBytes() - end > MAX_EVENT_BYTES) {
      throw new IllegalStateException("event of more than " + MAX_EVENT_BYTES + " bytes");
    }
    if (end == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = buffer.readBytes(end);
    buffer.discardReadBytes();
    readEvents(events.toString(StandardCharsets.UTF_8));
    return events;
  }

  /** Discards the incomplete event of a stream that has failed. */
  public void discardPartialEvent() {
    buffer.clear();
  }

  /**
   * Returns whether bytes of an incomplete event have been received. Further empty lines begin no
   * event.
   *
   * @return whether the stream would end within an event
   */
  public boolean inPartialEvent() {
    return buffer.forEachByte(b -> b == '\n' || b == '\r') >= 0;
  }

  /**
   * Returns how much is held back.
   *
   * @return bytes of the incomplete event
   */
  public int partialEventBytes() {
    return buffer.readableBytes();
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

  /**
   * Returns the number of complete events with data.
   *
   * @return number of events
   */
  public long eventCount() {
    return eventCount;
  }

  /** Searches only the bytes after the given index: those before hold no end of an event. */
  private int completeLength(int searched) {
    int first = Math.max(searched, buffer.readerIndex() + 1);
    for (int i = buffer.writerIndex() - 1; i >= first; i--) {
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

  private void readEvents(String text) {
    boolean hasData = false;
    for (String line : (Iterable<String>) text.lines()::iterator) {
      if (line.startsWith("id:")) {
        lastId = Optional.of(line.substring(3).strip());
      }
      hasData |= line.startsWith("data");
      if (line.isEmpty() && hasData) {
        eventCount++;
        hasData = false;
      }
    }
  }
}
