package io.kumquatspindle.node.front;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.transport.callers.CallerAccount;
import io.kumquatspindle.transport.callers.CallerInputGate;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;

/** Handles the requests of one caller's connection, one after the other. */
final class CallerConnectionHandler extends ChannelInboundHandlerAdapter {
  /** Interval of the checks whether a program that has just started can serve requests, in ms. */
  private static final long STARTUP_CHECK_INTERVAL_MS = 20;

  /** Number of pipelined requests after which the connection is not read any further. */
  private static final int MAX_PIPELINED_REQUESTS = 4;

  private final NodeContext node;
  private final ExchangeFactory exchanges;
  private final CallerAccount account;
  private final ArrayDeque<FullHttpRequest> pipelined = new ArrayDeque<>();
  private FullHttpRequest next;
  private Exchange current;
  private long lastActivityMs;
  private boolean unused = true;

  CallerConnectionHandler(NodeContext node, ExchangeFactory exchanges, CallerAccount account) {
    this.node = node;
    this.exchanges = exchanges;
    this.account = account;
    this.lastActivityMs = node.now();
  }

  /** Returns whether a request is being handled or queued. */
  boolean busy() {
    return current != null || next != null || !pipelined.isEmpty();
  }

  /** Returns whether no request is being handled and none has arrived or ended for the time. */
  boolean idleFor(long ms) {
    return !busy() && node.now() - lastActivityMs >= ms;
  }

  /** Returns whether no part of a request has arrived yet. */
  boolean unused() {
    return unused;
  }

  /** Records that a part of a request has arrived. */
  void recordActivity() {
    unused = false;
    lastActivityMs = node.now();
  }

  /** Rejects the request that is waiting for its model, because the program stops. */
  void rejectWaitingRequest() {
    if (current != null) {
      current.rejectIfWaiting();
    }
  }

  /** Ends the request that is in progress, because the program exits. */
  void failRemainingRequest() {
    if (current != null) {
      current.failBeforeExit();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof FullHttpRequest request) || account.closing()) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (current != null || next != null) {
      pipelined.addLast(request);
      blockInput(ctx);
      return;
    }
    begin(ctx, request);
  }

  private void blockInput(ChannelHandlerContext ctx) {
    ChannelHandlerContext gate = ctx.pipeline().context(CallerInputGate.class);
    if (gate != null) {
      ((CallerInputGate) gate.handler())
          .setBlocked(gate, pipelined.size() >= MAX_PIPELINED_REQUESTS);
    }
  }

  private void begin(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      boolean headTooLarge = request.decoderResult().cause() instanceof TooLongFrameException;
      request.release();
      reject(
          ctx,
          headTooLarge
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
      return;
    }
    next = request;
    // The caller may have left while its request waited to be read. Whether it has is known when
    // the
    // connection has been read to its end.
    ctx.channel().eventLoop().execute(() -> startNext(ctx));
  }

  private void startNext(ChannelHandlerContext ctx) {
    if (next == null || !ctx.channel().isActive()) {
      return;
    }
    FullHttpRequest request = next;
    next = null;
    boolean close = node.stopping() || !HttpUtil.isKeepAlive(request);
    CallerResponseWriter writer =
        new CallerResponseWriter(ctx.channel(), close, () -> onResponseEnd(ctx));
    current = exchanges.create(request, writer);
    startWhenStateLoaded(current);
  }

  /**
   * Starts the exchange once configuration and endpoints are loaded, so that callers that return
   * right after a restart wait for a moment and are not rejected.
   */
  private void startWhenStateLoaded(Exchange exchange) {
    if (node.starting()) {
      node.schedule(STARTUP_CHECK_INTERVAL_MS, () -> startWhenStateLoaded(exchange));
    } else {
      node.taskTimer().run("front", exchange::start);
    }
  }

  private void reject(ChannelHandlerContext ctx, HttpResponseStatus status) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    ctx.writeAndFlush(response).addListener(io.netty.channel.ChannelFutureListener.CLOSE);
  }

  private void onResponseEnd(ChannelHandlerContext ctx) {
    current = null;
    recordActivity();
    account.onResponseEnd();
    FullHttpRequest following = pipelined.pollFirst();
    blockInput(ctx);
    if (following != null) {
      begin(ctx, following);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (current != null) {
      current.onCallerWritabilityChanged(ctx.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ReferenceCountUtil.release(next);
    next = null;
    pipelined.forEach(ReferenceCountUtil::release);
    pipelined.clear();
    if (current != null) {
      current.onCallerDisconnected();
      current = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      node.log().internalError(cause);
    }
    ctx.close();
  }
}
