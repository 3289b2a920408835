package io.kumquatspindle.transport.callers;

import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.transport.callers.ConnectionClosings.Reason;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Closes callers' connections that stay idle too long or send a request too slowly. */
public final class CallerTimeouts extends ChannelDuplexHandler {
  /** Time limit for the body after the head, in multiples of the time limit for the head. */
  private static final int BODY_TIMEOUT_FACTOR = 10;

  private final CallerLimits limits;
  private final CallerAccount account;
  private final Runnable onActivity;
  private ScheduledFuture<?> timer;
  private boolean readingHead;
  private boolean readingRequest;
  private int pendingResponses;

  /**
   * Creates a handler.
   *
   * @param limits limits for callers
   * @param account account of the connection
   * @param onActivity called whenever a part of a request has been decoded
   */
  public CallerTimeouts(CallerLimits limits, CallerAccount account, Runnable onActivity) {
    this.limits = limits;
    this.account = account;
    this.onActivity = onActivity;
  }

  /** Returns whether the first bytes of a request have arrived, and the last ones have not. */
  boolean readingRequest() {
    return readingHead || readingRequest;
  }

  /** Starts the time for the head with its first bytes. */
  void onFirstByte(ChannelHandlerContext ctx) {
    readingHead = true;
    cancelTimer();
    timer =
        ctx.executor()
            .schedule(() -> onHeadTooSlow(ctx), limits.headerTimeoutMs(), TimeUnit.MILLISECONDS);
  }

  private void onHeadTooSlow(ChannelHandlerContext ctx) {
    if (ctx.pipeline().get(CallerInputGate.class).paused()) {
      // The rest of the head may have arrived, and is not read.
      onFirstByte(ctx);
    } else {
      account.close(Reason.HEAD_TOO_SLOW);
    }
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
    onActivity.run();
    account.onDecoded();
    if (message instanceof HttpRequest) {
      readingHead = false;
      readingRequest = true;
      pendingResponses++;
      startTimer(ctx, BODY_TIMEOUT_FACTOR * limits.headerTimeoutMs());
    }
    if (message instanceof LastHttpContent) {
      readingRequest = false;
      account.onRequestComplete();
      cancelTimer();
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpObject && message instanceof LastHttpContent) {
      pendingResponses = Math.max(0, pendingResponses - 1);
      if (pendingResponses == 0 && !readingRequest()) {
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
