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

/** Closes connections that stay idle too long or send their request too slowly. */
final class CallerTimeouts extends ChannelDuplexHandler {
  /** Longest time for the body after the head, in multiples of the limit for heads. */
  private static final int BODY_FACTOR = 10;

  private final CallerLimits limits;
  private ScheduledFuture<?> timer;
  private boolean reading;
  private int answering;

  CallerTimeouts(CallerLimits limits) {
    this.limits = limits;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    arm(ctx, limits.idleTimeoutMs());
    ctx.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    disarm();
    ctx.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ctx.pipeline().get(FrontHandler.class).touched();
    if (message instanceof HttpRequest) {
      reading = true;
      answering++;
      arm(ctx, BODY_FACTOR * limits.headerTimeoutMs());
    }
    if (message instanceof LastHttpContent) {
      reading = false;
      disarm();
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpObject && message instanceof LastHttpContent) {
      answering = Math.max(0, answering - 1);
      if (answering == 0 && !reading) {
        arm(ctx, limits.idleTimeoutMs());
      }
    }
    ctx.write(message, promise);
  }

  private void arm(ChannelHandlerContext ctx, long ms) {
    disarm();
    timer = ctx.executor().schedule(() -> ctx.close(), ms, TimeUnit.MILLISECONDS);
  }

  private void disarm() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
