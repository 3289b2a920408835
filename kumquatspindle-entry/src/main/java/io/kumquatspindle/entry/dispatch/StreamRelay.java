package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.request.RequestContext;
import io.kumquatspindle.entry.request.Target.Completion;
import java.io.EOFException;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import okio.BufferedSource;

/** Relays a streamed completion event by event. */
final class StreamRelay {
  private static final Map<String, String> HEADERS =
      Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache");

  private final RequestContext context;
  private final Completion target;
  private final RunningAttempt running;
  private final MonotonicClock clock;
  private long chunks;
  private OptionalLong reportedTokens = OptionalLong.empty();

  StreamRelay(
      RequestContext context, Completion target, RunningAttempt running, MonotonicClock clock) {
    this.context = context;
    this.target = target;
    this.running = running;
    this.clock = clock;
  }

  // Returns after the end marker has been relayed. Throws CallerDisconnectedException if the caller
  // accepts no more data, and another IOException if the stream from the endpoint is broken.
  void relay(BufferedSource source, Runnable firstByte) throws IOException {
    SseReader reader = new SseReader(source);
    Optional<byte[]> event = read(reader);
    if (event.isEmpty()) {
      throw new EOFException("empty stream");
    }
    if (!running.commit()) {
      throw new IOException("attempt aborted before the first byte");
    }
    firstByte.run();
    if (!context.reply().startStream(HEADERS)) {
      throw new CallerDisconnectedException(new IOException("request has already ended"));
    }
    for (; event.isPresent(); event = read(reader)) {
      countTokens(event.get());
      write(event.get());
      if (SseReader.isEndMarker(event.get())) {
        context.reply().endStream();
        return;
      }
    }
    throw new EOFException("stream ended without an end marker");
  }

  private Optional<byte[]> read(SseReader reader) throws IOException {
    running.readStarted(clock.nowMs());
    try {
      return reader.next();
    } finally {
      running.readFinished();
    }
  }

  private void write(byte[] event) throws CallerDisconnectedException {
    try {
      context.reply().write(event);
    } catch (IOException e) {
      throw new CallerDisconnectedException(e);
    }
  }

  private void countTokens(byte[] event) {
    String data = SseReader.data(event);
    if (data.isEmpty() || SseReader.isEndMarker(event)) {
      return;
    }
    chunks++;
    OptionalLong usage = UsageReader.totalTokens(data);
    reportedTokens = usage.isPresent() ? usage : reportedTokens;
    context.tokenUsage().set(reportedTokens.orElse(target.promptTokens() + chunks));
  }
}
