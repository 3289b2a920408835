package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CallKind;
import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.ResponseHead;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.node.port.HeaderCodec;
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
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One attempt to run a request at one endpoint. */
final class EndpointAttempt implements UpstreamRequest.Listener {
  /** Largest response body that is buffered until it is complete, in bytes. */
  private static final int MAX_BUFFERED_BYTES = 256 * 1024;

  /**
   * Lower bound of the timeout for the first byte, in ms. Several steps of an engine, or one slow
   * request, take about this long.
   */
  private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 300;

  /** Idle time after which a stream counts as stalled, in ms; pauses of 0.3 s are on time. */
  private static final long STREAM_IDLE_TIMEOUT_MS = 1_000;

  /** Timeout for the first byte of a stream, in multiples of the route's goal. */
  private static final double STREAM_TIMEOUT_GOALS = 0.6;

  /** Timeout for the first byte of any other response, in multiples of the route's goal. */
  private static final double FULL_RESPONSE_TIMEOUT_GOALS = 3;

  private final Exchange exchange;
  private final FrontContext context;
  private final Endpoint endpoint;
  private final FullHttpRequest request;
  private final HeaderCodec.Forward forward;
  private final ResponseForwarder forwarder;
  private final ByteBuf bufferedBody = Unpooled.buffer(0);
  private UpstreamRequest upstream;
  private HttpResponse head;
  private boolean notRun;
  private boolean streaming;
  private boolean sent;
  private boolean finished;
  private long lastByteMs;
  private ScheduledFuture<?> idleTimer;

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
  }

  void start() {
    endpoint.requestStarted();
    context.node().activeRequests().started(endpoint.id(), exchange.model(), exchange.adapter());
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
    outbound.headers().set(HttpHeaderNames.CONNECTION, "close");
    upstream =
        UpstreamRequest.send(context.node().loop(), entry.host(), entry.port(), outbound, this);
  }

  boolean wasSent() {
    return sent;
  }

  void cancel() {
    if (finish()) {
      upstream.cancel();
    }
  }

  void setReading(boolean enabled) {
    upstream.setReading(enabled);
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    endpoint.requestEnded();
    context.node().activeRequests().ended(endpoint.id(), exchange.model(), exchange.adapter());
    return true;
  }

  @Override
  public void onNotSent() {
    if (finish()) {
      exchange.onUnreachable(endpoint);
    }
  }

  @Override
  public void onSent() {
    sent = true;
    lastByteMs = context.node().now();
    scheduleIdleCheck(firstByteTimeoutMs());
  }

  private long firstByteTimeoutMs() {
    double goals =
        exchange.route().kind() == CallKind.STREAM
            ? STREAM_TIMEOUT_GOALS
            : FULL_RESPONSE_TIMEOUT_GOALS;
    return Math.max(
        MIN_FIRST_BYTE_TIMEOUT_MS, Math.round(goals * exchange.route().latencyTargetMs()));
  }

  /** Schedules a check whether the endpoint has sent anything in the meantime. */
  private void scheduleIdleCheck(long delayMs) {
    idleTimer =
        context.node().loop().schedule(() -> checkIdle(delayMs), delayMs, TimeUnit.MILLISECONDS);
  }

  private void checkIdle(long delayMs) {
    long idleMs = context.node().now() - lastByteMs;
    long timeoutMs = head == null ? delayMs : STREAM_IDLE_TIMEOUT_MS;
    if (finished) {
      return;
    }
    if (idleMs < timeoutMs) {
      scheduleIdleCheck(timeoutMs - idleMs);
    } else if (exchange.onIdleTimeout(endpoint, idleMs)) {
      onFailed("no data for " + idleMs + " ms");
    }
  }

  @Override
  public void onHead(HttpResponse response) {
    lastByteMs = context.node().now();
    ResponseHead info = context.headerCodec().decodeResponse(response);
    info.load().ifPresent(l -> endpoint.recordLoad(l, context.node().now()));
    if (info.requestId().isPresent() && !info.requestId().get().equals(exchange.id())) {
      onFailed("response carries the id of another request");
      return;
    }
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (success
        && (!info.authenticated()
            || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
      onFailed("successful response without proof of origin or with Content-Encoding");
      return;
    }
    head = response;
    notRun = info.notRun() || response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    if (!notRun && !info.authenticated()) {
      onFailed("response without proof of origin, status " + response.status().code());
      return;
    }
    streaming = success && exchange.route().kind() == CallKind.STREAM;
    if (streaming) {
      forwarder.startStream(response, exchange.route().resumable());
    } else if (forwarder.started() && !notRun) {
      onFailed("status " + response.status().code() + " in reply to the resumption of a stream");
    }
  }

  @Override
  public void onData(ByteBuf data) {
    lastByteMs = context.node().now();
    if (streaming) {
      forwarder.sendData(data);
      upstream.setReading(forwarder.isWritable());
      return;
    }
    boolean tooLarge = bufferedBody.readableBytes() + data.readableBytes() > MAX_BUFFERED_BYTES;
    if (tooLarge && notRun) {
      // The head already states that the request has not run; the body may be endless.
      if (finish()) {
        upstream.cancel();
        exchange.onNotRun(endpoint, head.status().code());
      }
      return;
    }
    if (tooLarge) {
      streaming = true;
      forwarder.startStream(head, false);
      forwarder.sendData(bufferedBody);
      forwarder.sendData(data);
      return;
    }
    bufferedBody.writeBytes(data);
  }

  @Override
  public void onComplete() {
    if (!finish()) {
      return;
    }
    int status = head.status().code();
    if (notRun) {
      exchange.onNotRun(endpoint, status);
      return;
    }
    boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    endpoint.recordOutcome(failed, context.node().now());
    if (failed && exchange.retryElsewhere(endpoint)) {
      return;
    }
    if (streaming) {
      forwarder.endStream();
    } else {
      forwarder.sendFull(head, bufferedBody);
    }
    exchange.onServed(endpoint, status);
  }

  @Override
  public void onFailed(String reason) {
    if (finish()) {
      upstream.cancel();
      exchange.onFailed(endpoint, reason);
    }
  }
}
