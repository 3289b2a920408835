package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.node.relay.EventSplitter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;

/** Passes one answer on to the caller, in parts from several endpoints if a stream goes on. */
final class Answerer {
  private static final double MS_PER_SECOND = 1_000;

  private final FrontParts parts;
  private final CallerChannel caller;
  private Optional<EventSplitter> splitter = Optional.empty();
  private boolean started;
  private long firstByteMs;

  Answerer(FrontParts parts, CallerChannel caller) {
    this.parts = parts;
    this.caller = caller;
  }

  boolean started() {
    return started;
  }

  long firstByteMs() {
    return firstByteMs == 0 ? parts.node().now() : firstByteMs;
  }

  boolean writable() {
    return caller.writable();
  }

  /** Returns the id of the last event that was passed on, if the stream shall go on after it. */
  Optional<String> resumeAfter() {
    return splitter.flatMap(EventSplitter::lastId);
  }

  void prepareResume() {
    splitter.ifPresent(EventSplitter::dropTail);
  }

  void whole(HttpResponse head, ByteBuf body) {
    started = true;
    firstByteMs = parts.node().now();
    caller.whole(head.status(), parts.headers().back(head.headers()), body);
  }

  void streamHead(HttpResponse head, boolean resumable) {
    if (started) {
      return;
    }
    started = true;
    splitter = resumable ? Optional.of(new EventSplitter()) : Optional.empty();
    HttpHeaders headers = parts.headers().back(head.headers());
    if (resumable) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    caller.head(head.status(), headers);
  }

  void streamData(ByteBuf data) {
    if (firstByteMs == 0) {
      firstByteMs = parts.node().now();
    }
    if (splitter.isEmpty()) {
      caller.data(data.retainedDuplicate());
      return;
    }
    ByteBuf events = splitter.get().take(data);
    if (events.isReadable()) {
      caller.data(events);
    } else {
      events.release();
    }
  }

  void streamEnd() {
    splitter.map(EventSplitter::rest).filter(ByteBuf::isReadable).ifPresent(caller::data);
    caller.end();
  }

  void breakOff() {
    caller.breakOff();
  }

  void refuse(ErrorKind kind, long retryAfterMs, String requestId) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (kind.hasRetryAfter()) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER,
          String.format(Locale.ROOT, "%.3f", Math.max(0, retryAfterMs) / MS_PER_SECOND));
    }
    parts.headers().name(headers, requestId);
    byte[] body =
        Json.encode(new Body(new Fields(kind.code(), kind.executionStatus().code(), requestId)));
    caller.whole(HttpResponseStatus.valueOf(kind.status()), headers, Unpooled.wrappedBuffer(body));
  }

  private record Body(Fields error) {}

  private record Fields(String code, String ran, String id) {}
}
