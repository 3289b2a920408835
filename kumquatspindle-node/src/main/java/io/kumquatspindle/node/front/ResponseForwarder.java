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

/**
 * Forwards the response to one request to its caller. A resumed stream is assembled from the
 * responses of several endpoints.
 */
final class ResponseForwarder {
  private static final double MS_PER_SECOND = 1_000;

  private final FrontContext context;
  private final CallerResponseWriter caller;
  private Optional<EventSplitter> splitter = Optional.empty();
  private boolean resumable;
  private boolean started;
  private long firstByteMs;

  ResponseForwarder(FrontContext context, CallerResponseWriter caller) {
    this.context = context;
    this.caller = caller;
  }

  boolean started() {
    return started;
  }

  long firstByteMs() {
    return firstByteMs == 0 ? context.node().now() : firstByteMs;
  }

  /** Returns whether the caller's connection is open. */
  boolean callerPresent() {
    return caller.isOpen();
  }

  boolean isWritable() {
    return caller.isWritable();
  }

  /** Returns the id of the last forwarded event, if the stream is resumable and had one. */
  Optional<String> lastEventId() {
    return resumable ? splitter.flatMap(EventSplitter::lastId) : Optional.empty();
  }

  /** Returns the number of events that have been forwarded. */
  long eventCount() {
    return splitter.map(EventSplitter::eventCount).orElse(0L);
  }

  /** Returns whether the stream would end within an event if it ended now. */
  boolean inPartialEvent() {
    return splitter.filter(EventSplitter::inPartialEvent).isPresent();
  }

  /** Returns the bytes of the incomplete event that is held back. */
  int partialEventBytes() {
    return splitter.map(EventSplitter::partialEventBytes).orElse(0);
  }

  void discardPartialEvent() {
    splitter.ifPresent(EventSplitter::discardPartialEvent);
  }

  void sendFull(HttpResponse head, ByteBuf body) {
    started = true;
    firstByteMs = context.node().now();
    caller.writeFull(head.status(), context.headerCodec().responseHeaders(head.headers()), body);
  }

  /** Starts to forward a stream of events, unless it continues one that has been started. */
  void startEvents(HttpResponse head, boolean streamResumable) {
    if (started) {
      return;
    }
    splitter = Optional.of(new EventSplitter());
    resumable = streamResumable;
    HttpHeaders headers = context.headerCodec().responseHeaders(head.headers());
    if (resumable) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    started = true;
    caller.writeHead(head.status(), headers);
  }

  /** Starts to forward a body that is too large to be buffered. */
  void startBody(HttpResponse head) {
    started = true;
    caller.writeHead(head.status(), context.headerCodec().responseHeaders(head.headers()));
  }

  /**
   * Forwards a part of the body.
   *
   * @throws IllegalStateException if an event is too large
   */
  void sendData(ByteBuf data) {
    if (firstByteMs == 0) {
      firstByteMs = context.node().now();
    }
    if (splitter.isEmpty()) {
      caller.writeData(data.retainedDuplicate());
      return;
    }
    ByteBuf events = splitter.get().append(data);
    if (events.isReadable()) {
      caller.writeData(events);
    } else {
      events.release();
    }
  }

  void endStream() {
    splitter.map(EventSplitter::remainder).filter(ByteBuf::isReadable).ifPresent(caller::writeData);
    caller.writeEnd();
  }

  void abort() {
    caller.abort();
  }

  void sendError(ErrorKind kind, long retryAfterMs, String requestId) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (kind.hasRetryAfter()) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER,
          String.format(Locale.ROOT, "%.3f", Math.max(0, retryAfterMs) / MS_PER_SECOND));
    }
    context.headerCodec().setRequestId(headers, requestId);
    byte[] body =
        Json.encode(
            new ErrorBody(new ErrorFields(kind.code(), kind.executionStatus().code(), requestId)));
    caller.writeFull(
        HttpResponseStatus.valueOf(kind.status()), headers, Unpooled.wrappedBuffer(body));
  }

  private record ErrorBody(ErrorFields error) {}

  private record ErrorFields(String code, String ran, String id) {}
}
