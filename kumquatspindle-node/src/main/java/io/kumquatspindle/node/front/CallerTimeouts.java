package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CallerLimits;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Closes callers' connections that stay idle too long or send a request too slowly. */
final class CallerTimeouts extends ChannelDuplexHandler {
  /** Time limit for the body after the head, in multiples of the time limit for the head. */
  private static final int BODY_TIMEOUT_FACTOR = 10;

  private final CallerLimits limits;
  private ScheduledFuture<?> timer;
  private boolean readingRequest;
  private int pendingResponses;

  CallerTimeouts(CallerLimits limits) {
    this.limits = limits;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    startTimer(ctx, limits.idleTimeoutMs());
    ctx.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelTimer();
    ctx.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ctx.pipeline().get(CallerConnectionHandler.class).recordActivity();
    if (message instanceof HttpRequest) {
      readingRequest = true;
      pendingResponses++;
      startTimer(ctx, BODY_TIMEOUT_FACTOR * limits.headerTimeoutMs());
    }
    if (message instanceof LastHttpContent) {
      readingRequest = false;
      cancelTimer();
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpObject && message instanceof LastHttpContent) {
      pendingResponses = Math.max(0, pendingResponses - 1);
      if (pendingResponses == 0 && !readingRequest) {
        startTimer(ctx, limits.idleTimeoutMs());
      }
    }
    ctx.write(message, promise);
  }

  private void startTimer(ChannelHandlerContext ctx, long ms) {
    cancelTimer();
    timer = ctx.executor().schedule(() -> ctx.close(), ms, TimeUnit.MILLISECONDS);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
