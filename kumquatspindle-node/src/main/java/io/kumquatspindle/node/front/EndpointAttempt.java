package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CallKind;
import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.ResponseHead;
import io.kumquatspindle.api.fleet.RouteSpec;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.EndpointTable;
import io.kumquatspindle.node.port.HeaderCodec;
import io.kumquatspindle.node.relay.ResponseMemory;
import io.kumquatspindle.node.relay.UpstreamRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One attempt to run a request at one endpoint. */
final class EndpointAttempt implements UpstreamRequest.Listener {
  /** Largest response body that is buffered until it is complete, in bytes. */
  private static final int MAX_BUFFERED_BYTES = 256 * 1024;

  /** Time without a response after which a kept connection counts as silent, in ms. */
  private static final long MIN_CONNECTION_STALL_MS = 1_000;

  /**
   * Number of events after which the prompt of a stream counts as sound: an endpoint that a prompt
   * crashes sends none.
   */
  private static final long SOUND_EVENTS = 3;

  private final Exchange exchange;
  private final FrontContext context;
  private final Endpoint endpoint;
  private final FullHttpRequest request;
  private final HeaderCodec.Forward forward;
  private final ResponseForwarder forwarder;
  private final AttemptTimeouts timeouts;
  private final ByteBuf bufferedBody = Unpooled.buffer(0);
  private final ResponseMemory.Account held;
  private final EndpointUse use;
  private UpstreamRequest upstream;
  private HttpResponse head;
  private boolean notRun;
  private boolean streaming;
  private boolean large;
  private boolean finished;
  private boolean stallRecorded;
  private long sentMs;
  private long headMs;
  private long eventCount;
  private long lastProgressMs;
  private ScheduledFuture<?> stallTimer;

  EndpointAttempt(
      Exchange exchange,
      FrontContext context,
      Endpoint endpoint,
      FullHttpRequest request,
      HeaderCodec.Forward forward,
      ResponseForwarder forwarder) {
    this.exchange = exchange;
    this.context = context;
    this.endpoint = endpoint;
    this.request = request;
    this.forward = forward;
    this.forwarder = forwarder;
    this.held = context.responseMemory().open();
    RouteSpec route = exchange.route();
    this.use = exchange.use(endpoint);
    this.timeouts =
        new AttemptTimeouts(
            route, exchange.head().tokens(), context.responseTimes().of(route.name()));
  }

  void start() {
    use.begin();
    EndpointEntry entry = endpoint.entry();
    FullHttpRequest outbound =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.content().retainedDuplicate(),
            context.headerCodec().requestHeaders(request.headers(), forward),
            new DefaultHttpHeaders());
    if (outbound.content().isReadable()
        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      outbound.headers().set(HttpHeaderNames.CONTENT_LENGTH, outbound.content().readableBytes());
    }
    // Only a response with an id can be matched to its request on a kept connection.
    boolean mayReuse =
        !exchange.head().id().isEmpty()
            && (exchange.route().repeatable() || exchange.route().resumable());
    upstream =
        UpstreamRequest.send(
            context.connections(), entry.host(), entry.port(), outbound, mayReuse, this);
  }

  void cancel() {
    if (finish() && upstream != null) {
      upstream.cancel();
    }
  }

  /** Returns whether the head of the response has arrived. */
  boolean responseBegun() {
    return head != null;
  }

  void setReading(boolean enabled) {
    use.setReading(enabled);
    upstream.setReading(enabled);
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    held.resize(0);
    if (stallTimer != null) {
      stallTimer.cancel(false);
    }
    use.end(notRun);
    return true;
  }

  @Override
  public void onNotSent() {
    if (finish()) {
      exchange.onUnreachable(endpoint);
    }
  }

  @Override
  public boolean isWanted() {
    return forwarder.callerPresent();
  }

  @Override
  public void onSent() {
    exchange.onSent();
    sentMs = context.node().now();
    use.sent(sentMs);
    lastProgressMs = sentMs;
    scheduleStallCheck(timeouts.firstByteMs());
  }

  private AttemptProgress progress() {
    long now = context.node().now();
    OptionalLong sinceHeadMs = head == null ? OptionalLong.empty() : OptionalLong.of(now - headMs);
    return new AttemptProgress(now - sentMs, sinceHeadMs, eventCount);
  }

  private long stallTimeoutMs() {
    return head == null ? timeouts.firstByteMs() : timeouts.stalledStreamMs();
  }

  /** Schedules a check whether the endpoint has made progress in the meantime. */
  private void scheduleStallCheck(long delayMs) {
    stallTimer = context.node().loop().schedule(this::checkStall, delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether the kept connection has probably gone silent. A loaded endpoint may need longer
   * than the first timeout, and would start over if the request was sent to it again.
   */
  private boolean connectionStalled(long stalledMs) {
    return head == null
        && upstream.onKeptConnection()
        && stalledMs >= Math.max(timeouts.firstByteMs(), MIN_CONNECTION_STALL_MS);
  }

  private void checkStall() {
    if (finished) {
      return;
    }
    long now = context.node().now();
    if (!forwarder.isWritable()) {
      // Nothing is read from the endpoint while the caller does not read.
      lastProgressMs = now;
    }
    long stalledMs = now - lastProgressMs;
    if (stalledMs < stallTimeoutMs()) {
      scheduleStallCheck(stallTimeoutMs() - stalledMs);
      return;
    }
    if (!stallRecorded) {
      stallRecorded = true;
      if (head == null) {
        timeouts.responseTimes().record(exchange.head().tokens(), stalledMs);
      }
      exchange.log().stalled(endpoint, stalledMs);
    }
    if (connectionStalled(stalledMs) && exchange.mayReplaceConnection()) {
      finish();
      upstream.cancel();
      // Connections to an endpoint stall together.
      context.connections().closeIdle(endpoint.entry().address());
      exchange.resend(endpoint);
    } else if (exchange.mayReplaceStalled()) {
      finish();
      upstream.cancel();
      exchange.onStalled(endpoint, "no progress for " + stalledMs + " ms", progress());
    } else {
      scheduleStallCheck(stallTimeoutMs());
    }
  }

  @Override
  public boolean onHead(HttpResponse response, boolean keptConnection) {
    ResponseHead info = context.headerCodec().decodeResponse(response);
    // On a kept connection, a response without id may be a late copy of an earlier one.
    boolean own =
        info.requestId().map(id -> id.equals(exchange.head().id())).orElse(!keptConnection);
    if (!own && keptConnection) {
      exchange.log().foreignResponse(endpoint, info.requestId().orElse(""));
      return false;
    }
    lastProgressMs = context.node().now();
    info.load().ifPresent(use::load);
    recordAvailability(info);
    if (!own) {
      onFailed("response carries the id of another request");
      return true;
    }
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (success
        && (!info.authenticated()
            || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
      onFailed("successful response without proof of origin or with Content-Encoding");
      return true;
    }
    if (success) {
      // Refusals come at once and tell nothing of the work.
      timeouts.responseTimes().record(exchange.head().tokens(), lastProgressMs - sentMs);
    }
    head = response;
    headMs = lastProgressMs;
    notRun = info.notRun() || response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    if (!notRun && !info.authenticated()) {
      onFailed("response without proof of origin, status " + response.status().code());
      return true;
    }
    streaming = success && exchange.route().kind() == CallKind.STREAM;
    if (streaming) {
      forwarder.startEvents(response, exchange.route().resumable());
    } else if (forwarder.started() && !notRun) {
      onFailed("status " + response.status().code() + " in reply to the resumption of a stream");
    }
    return true;
  }

  private void recordAvailability(ResponseHead info) {
    EndpointTable endpoints = context.node().endpoints();
    if (info.leaving() && endpoints.announceLeaving(endpoint)) {
      exchange.log().line("endpoint_leaves", endpoint).write();
    }
    long now = context.node().now();
    info.retryAfterMs().ifPresent(ms -> endpoints.refuseUntil(endpoint, now + ms));
    context.permits().onResponse(endpoint, info, sentMs);
  }

  @Override
  public void onData(ByteBuf data) {
    if (finished) {
      return;
    }
    if (streaming) {
      forwardEvents(data);
    } else if (large) {
      lastProgressMs = context.node().now();
      forwarder.sendData(data);
      upstream.setReading(forwarder.isWritable());
    } else {
      lastProgressMs = context.node().now();
      buffer(data);
    }
  }

  /** Forwards events. Bytes that make up no event do not count as progress. */
  private void forwardEvents(ByteBuf data) {
    long before = forwarder.eventCount();
    try {
      forwarder.sendData(data);
    } catch (IllegalStateException e) {
      onFailed(e.getMessage());
      return;
    }
    if (forwarder.eventCount() > before) {
      recordEvents(forwarder.eventCount() - before);
      lastProgressMs = context.node().now();
    }
    if (held.resize(forwarder.partialEventBytes())) {
      upstream.setReading(forwarder.isWritable());
    } else {
      onFailed("no memory for an event of more than " + forwarder.partialEventBytes() + " bytes");
    }
  }

  private void recordEvents(long count) {
    exchange.log().events(endpoint, eventCount);
    boolean provenBefore = eventCount >= SOUND_EVENTS;
    eventCount += count;
    use.events(count, context.node().now());
    if (!provenBefore && eventCount >= SOUND_EVENTS) {
      context.promptGuard().onSound(exchange.head());
    }
  }

  private void buffer(ByteBuf data) {
    int bytes = bufferedBody.readableBytes() + data.readableBytes();
    if (bytes <= MAX_BUFFERED_BYTES && held.resize(bytes)) {
      bufferedBody.writeBytes(data);
    } else if (!notRun) {
      large = true;
      forwarder.startBody(head);
      forwarder.sendData(bufferedBody);
      forwarder.sendData(data);
      held.resize(0);
    } else if (finish()) {
      // The head already states that the request has not run; the body may be endless.
      upstream.cancel();
      exchange.onNotRun(endpoint, head.status().code());
    }
  }

  @Override
  public void onComplete() {
    if (finished) {
      return;
    }
    if (streaming && (forwarder.inPartialEvent() || eventCount == 0 && !framed(head))) {
      // Without framing, a body that was cut off ends in the same way as a complete one.
      onBrokenOff("stream ended within an event");
      return;
    }
    finish();
    int status = head.status().code();
    if (notRun) {
      exchange.onNotRun(endpoint, status);
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.SUCCESS) {
      use.served(streaming, context.node().now());
    }
    boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    endpoint.recordOutcome(failed, context.node().now());
    if (failed && !large && exchange.retryElsewhere(endpoint)) {
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.SUCCESS && framed(head)) {
      context.promptGuard().onSound(exchange.head());
    }
    if (streaming || large) {
      forwarder.endStream();
    } else {
      forwarder.sendFull(head, bufferedBody);
    }
    exchange.onServed(endpoint, status);
  }

  private static boolean framed(HttpResponse response) {
    return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
  }

  @Override
  public void onConnectionLost() {
    if (finish()) {
      exchange.onConnectionLost(endpoint, progress());
    }
  }

  @Override
  public void onBrokenOff(String reason) {
    if (finish()) {
      upstream.cancel();
      exchange.onBrokenOff(endpoint, reason, progress());
    }
  }

  @Override
  public void onFailed(String reason) {
    if (finish()) {
      upstream.cancel();
      exchange.onFailed(endpoint, reason, progress());
    }
  }
}
