package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CallKind;
import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.ResponseHead;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.node.port.HeaderCodec;
import io.kumquatspindle.node.relay.Upstream;
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

/** One send of a request to one endpoint. */
final class Attempt implements Upstream.Listener {
  /** Largest answer that is held back until it is complete, in bytes. */
  private static final int MOST_HELD_BYTES = 256 * 1024;

  /** Least silence that says anything, in ms: several steps of an engine, or a slow request. */
  private static final long LEAST_SILENCE_MS = 300;

  /** Silence inside a stream that says that it has stopped, in ms; pauses on time are 0.3 s. */
  private static final long STREAM_SILENCE_MS = 1_000;

  /** Silence before the first byte, in multiples of the route's goal. */
  private static final double GOALS_STREAM = 0.6;

  private static final double GOALS_WHOLE = 3;

  private final Exchange exchange;
  private final FrontParts parts;
  private final Endpoint endpoint;
  private final FullHttpRequest request;
  private final HeaderCodec.Forward forward;
  private final Answerer answer;
  private final ByteBuf held = Unpooled.buffer(0);
  private Upstream upstream;
  private HttpResponse head;
  private boolean notRun;
  private boolean streaming;
  private boolean sent;
  private boolean over;
  private long lastByteMs;
  private ScheduledFuture<?> silence;

  Attempt(
      Exchange exchange,
      FrontParts parts,
      Endpoint endpoint,
      FullHttpRequest request,
      HeaderCodec.Forward forward,
      Answerer answer) {
    this.exchange = exchange;
    this.parts = parts;
    this.endpoint = endpoint;
    this.request = request;
    this.forward = forward;
    this.answer = answer;
  }

  void begin() {
    endpoint.sent();
    parts.node().running().begin(endpoint.id(), exchange.model(), exchange.adapter());
    EndpointEntry e = endpoint.entry();
    FullHttpRequest out =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.content().retainedDuplicate(),
            parts.headers().forward(request.headers(), forward),
            new DefaultHttpHeaders());
    if (out.content().isReadable() || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      out.headers().set(HttpHeaderNames.CONTENT_LENGTH, out.content().readableBytes());
    }
    out.headers().set(HttpHeaderNames.CONNECTION, "close");
    upstream = Upstream.send(parts.node().loop(), e.host(), e.port(), out, this);
  }

  boolean wasSent() {
    return sent;
  }

  void cancel() {
    if (finish()) {
      upstream.cancel();
    }
  }

  void reading(boolean read) {
    upstream.reading(read);
  }

  private boolean finish() {
    if (over) {
      return false;
    }
    over = true;
    if (silence != null) {
      silence.cancel(false);
    }
    endpoint.ended();
    parts.node().running().end(endpoint.id(), exchange.model(), exchange.adapter());
    return true;
  }

  @Override
  public void notSent() {
    if (finish()) {
      exchange.onUnreachable(endpoint);
    }
  }

  @Override
  public void sent() {
    sent = true;
    lastByteMs = parts.node().now();
    watch(firstByteMs());
  }

  private long firstByteMs() {
    double goals = exchange.route().kind() == CallKind.STREAM ? GOALS_STREAM : GOALS_WHOLE;
    return Math.max(LEAST_SILENCE_MS, Math.round(goals * exchange.route().latencyTargetMs()));
  }

  /** Looks, after a time, whether the endpoint has sent anything in that time. */
  private void watch(long ms) {
    silence = parts.node().loop().schedule(() -> look(ms), ms, TimeUnit.MILLISECONDS);
  }

  private void look(long limitMs) {
    long silent = parts.node().now() - lastByteMs;
    long limit = head == null ? limitMs : STREAM_SILENCE_MS;
    if (over) {
      return;
    }
    if (silent < limit) {
      watch(limit - silent);
    } else if (exchange.giveUpSilent(endpoint, silent)) {
      broken("silent for " + silent + " ms");
    }
  }

  @Override
  public void head(HttpResponse response) {
    lastByteMs = parts.node().now();
    ResponseHead says = parts.headers().answer(response);
    says.load().ifPresent(l -> endpoint.load(l, parts.node().now()));
    if (says.requestId().isPresent() && !says.requestId().get().equals(exchange.id())) {
      broken("answer to another request");
      return;
    }
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (success
        && (!says.authenticated()
            || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
      broken("success without proof of origin");
      return;
    }
    head = response;
    notRun = says.notRun() || response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    if (!notRun && !says.authenticated()) {
      broken("answer without proof of origin, status " + response.status().code());
      return;
    }
    streaming = success && exchange.route().kind() == CallKind.STREAM;
    if (streaming) {
      answer.streamHead(response, exchange.route().resumable());
    } else if (answer.started() && !notRun) {
      broken("status " + response.status().code() + " when the stream should go on");
    }
  }

  @Override
  public void data(ByteBuf data) {
    lastByteMs = parts.node().now();
    if (streaming) {
      answer.streamData(data);
      upstream.reading(answer.writable());
      return;
    }
    boolean tooLong = held.readableBytes() + data.readableBytes() > MOST_HELD_BYTES;
    if (tooLong && notRun) {
      // The head has said all; such a body may have no end.
      if (finish()) {
        upstream.cancel();
        exchange.onNotRun(endpoint, head.status().code());
      }
      return;
    }
    if (tooLong) {
      streaming = true;
      answer.streamHead(head, false);
      answer.streamData(held);
      answer.streamData(data);
      return;
    }
    held.writeBytes(data);
  }

  @Override
  public void complete() {
    if (!finish()) {
      return;
    }
    int status = head.status().code();
    if (notRun) {
      exchange.onNotRun(endpoint, status);
      return;
    }
    boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    endpoint.outcome(failed, parts.node().now());
    if (failed && exchange.tryElsewhere(endpoint)) {
      return;
    }
    if (streaming) {
      answer.streamEnd();
    } else {
      answer.whole(head, held);
    }
    exchange.onServed(endpoint, status);
  }

  @Override
  public void broken(String reason) {
    if (finish()) {
      upstream.cancel();
      exchange.onBroken(endpoint, reason);
    }
  }
}
