package io.kumquatspindle.node.front;

import io.kumquatspindle.node.NodeContext;
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

/** One caller's connection: its requests one after the other, and its end. */
final class FrontHandler extends ChannelInboundHandlerAdapter {
  /** Requests that a caller may send ahead on one connection before it is read no further. */
  /** Time between looks whether a program that has just started can serve, in ms. */
  private static final long START_LOOK_MS = 20;

  private static final int MOST_AHEAD = 4;

  private final NodeContext node;
  private final ExchangeFactory exchanges;
  private final ArrayDeque<FullHttpRequest> ahead = new ArrayDeque<>();
  private Exchange current;
  private long lastMs;

  FrontHandler(NodeContext node, ExchangeFactory exchanges) {
    this.node = node;
    this.exchanges = exchanges;
    this.lastMs = node.now();
  }

  /** Tells whether a request is being answered. */
  boolean busy() {
    return current != null || !ahead.isEmpty();
  }

  /** Tells whether nothing has happened on the connection for a time. */
  boolean idleFor(long ms) {
    return !busy() && node.now() - lastMs >= ms;
  }

  /** Notes that a part of a request has arrived. */
  void touched() {
    lastMs = node.now();
  }

  /** Refuses the request that waits, as the program stops. */
  void refuseWaiting() {
    if (current != null) {
      current.stopWaiting();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof FullHttpRequest request)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (current != null) {
      ahead.addLast(request);
      ctx.channel().config().setAutoRead(ahead.size() < MOST_AHEAD);
      return;
    }
    begin(ctx, request);
  }

  private void begin(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
      request.release();
      refuse(
          ctx,
          tooLong
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
      return;
    }
    boolean close = node.stopping() || !HttpUtil.isKeepAlive(request);
    CallerChannel answer = new CallerChannel(ctx.channel(), close, () -> ended(ctx));
    current = exchanges.create(request, answer);
    startWhenKnown(current);
  }

  /** A caller that comes back right after a restart waits for the state rather than be refused. */
  private void startWhenKnown(Exchange exchange) {
    if (node.starting()) {
      node.after(START_LOOK_MS, () -> startWhenKnown(exchange));
    } else {
      node.duties().run("front", exchange::start);
    }
  }

  private void refuse(ChannelHandlerContext ctx, HttpResponseStatus status) {
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    answer.headers().set(HttpHeaderNames.CONNECTION, "close");
    ctx.writeAndFlush(answer).addListener(io.netty.channel.ChannelFutureListener.CLOSE);
  }

  private void ended(ChannelHandlerContext ctx) {
    current = null;
    touched();
    FullHttpRequest next = ahead.pollFirst();
    ctx.channel().config().setAutoRead(true);
    if (next != null) {
      begin(ctx, next);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (current != null) {
      current.callerWritable(ctx.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    if (current != null) {
      current.callerLeft();
      current = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      StackTraceElement[] trace = cause.getStackTrace();
      String at = trace.length > 0 ? " at " + trace[0] : "";
      node.log().line("internal_error").field("reason", cause + at).write();
    }
    ctx.close();
  }
}
