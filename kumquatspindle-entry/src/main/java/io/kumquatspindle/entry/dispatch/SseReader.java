package io.kumquatspindle.entry.dispatch;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import okio.Buffer;
import okio.BufferedSource;

/** Splits a stream of server-sent events into events without changing their bytes. */
final class SseReader {
  // Bounds the memory used for one stream; engines send events of a few hundred bytes.
  private static final long MAX_EVENT_BYTES = 4L << 20;

  private static final String DONE = "[DONE]";
  private static final String DATA = "data:";

  private final BufferedSource source;

  SseReader(BufferedSource source) {
    this.source = source;
  }

  // Returns empty at the end of the stream; throws if the stream ends within an event.
  Optional<byte[]> next() throws IOException {
    Buffer event = new Buffer();
    while (!source.exhausted()) {
      long end = source.indexOf((byte) '\n', 0, MAX_EVENT_BYTES);
      if (end < 0 || event.size() + end > MAX_EVENT_BYTES) {
        throw new EOFException("incomplete or oversized event");
      }
      boolean blank = end == 0 || (end == 1 && source.getBuffer().getByte(0) == '\r');
      event.write(source, end + 1);
      if (blank) {
        return Optional.of(event.readByteArray());
      }
    }
    if (event.size() > 0) {
      throw new EOFException("stream ended within an event");
    }
    return Optional.empty();
  }

  static boolean isEndMarker(byte[] event) {
    return data(event).equals(DONE);
  }

  // Returns the first data field; empty for comments and events without data.
  static String data(byte[] event) {
    String text = new String(event, StandardCharsets.UTF_8);
    return text.lines()
        .filter(l -> l.startsWith(DATA))
        .map(l -> l.substring(DATA.length()).strip())
        .findFirst()
        .orElse("");
  }
}
