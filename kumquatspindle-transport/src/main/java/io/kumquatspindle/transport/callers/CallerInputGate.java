package io.kumquatspindle.transport.callers;

import io.kumquatspindle.transport.callers.ConnectionClosings.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Passes the bytes of a caller to the decoder in small slices, so that no more than a slice is
 * decoded once the memory for callers is used up or too many requests are waiting. First handler of
 * the pipeline.
 */
public final class CallerInputGate extends ChannelDuplexHandler {
  /**
   * Largest number of bytes that are decoded at a time. Decoded header fields of this size take
   * some 200 KB.
   */
  static final int SLICE_BYTES = 2_048;

  private static final byte CR = '\r';
  private static final byte LF = '\n';

  private final CallerAccount account;
  private final int maxHeadBytes;
  private ByteBuf waiting = Unpooled.EMPTY_BUFFER;
  private boolean passing;
  private boolean blocked;
  private boolean resumeRequested;

  /**
   * Creates a handler.
   *
   * @param account account of the connection
   * @param maxHeadBytes largest head, with its first line
   */
  public CallerInputGate(CallerAccount account, int maxHeadBytes) {
    this.account = account;
    this.maxHeadBytes = maxHeadBytes;
  }

  /** Returns whether bytes of the caller may be waiting here or in the kernel. */
  boolean paused() {
    return blocked || resumeRequested;
  }

  /**
   * Stops or resumes passing on, because of requests that are waiting.
   *
   * @param self context of this handler
   * @param block whether nothing is passed on
   */
  public void setBlocked(ChannelHandlerContext self, boolean block) {
    if (blocked == block) {
      return;
    }
    blocked = block;
    if (block) {
      self.channel().config().setAutoRead(false);
    } else {
      self.executor().execute(() -> passOn(self));
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof ByteBuf data)) {
      ctx.fireChannelRead(message);
      return;
    }
    waiting = waiting.isReadable() ? Unpooled.wrappedBuffer(waiting, data) : replaceEmpty(data);
    passOn(ctx);
  }

  private ByteBuf replaceEmpty(ByteBuf data) {
    waiting.release();
    return data;
  }

  private void passOn(ChannelHandlerContext ctx) {
    if (passing) {
      return;
    }
    passing = true;
    while (waiting.isReadable() && !account.closing() && !blocked && !account.memory().full()) {
      passSlice(ctx);
    }
    passing = false;
    if (account.closing() || !waiting.isReadable()) {
      discardWaiting();
    }
    account.setPausedBytes(waiting.readableBytes());
    if (account.closing() || blocked) {
      return;
    }
    if (account.memory().full()) {
      ctx.channel().config().setAutoRead(false);
      resumeLater(ctx);
    } else if (!ctx.channel().config().isAutoRead()) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  private void resumeLater(ChannelHandlerContext ctx) {
    if (!resumeRequested) {
      resumeRequested = true;
      account
          .memory()
          .whenNotFull(
              () -> {
                resumeRequested = false;
                passOn(ctx);
              });
    }
  }

  /** Passes on a copy, since what the decoder keeps would hold the whole buffer of the read. */
  private void passSlice(ChannelHandlerContext ctx) {
    int count = Math.min(SLICE_BYTES, waiting.readableBytes());
    ByteBuf slice = Unpooled.buffer(count, count).writeBytes(waiting, count);
    CallerTimeouts timeouts = ctx.pipeline().get(CallerTimeouts.class);
    if (!timeouts.readingRequest() && !onlyLineEnds(slice)) {
      timeouts.onFirstByte(ctx);
      account.onRequestBegun();
    }
    account.onBytes(count);
    ctx.fireChannelRead(slice);
    if (account.undecodedBytes() > maxHeadBytes + SLICE_BYTES) {
      account.close(Reason.HEAD_TOO_LONG);
    }
  }

  private static boolean onlyLineEnds(ByteBuf slice) {
    return slice.forEachByte(b -> b == CR || b == LF) < 0;
  }

  private void discardWaiting() {
    waiting.release();
    waiting = Unpooled.EMPTY_BUFFER;
  }

  @Override
  public void flush(ChannelHandlerContext ctx) {
    ctx.flush();
    account.onWritten();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    discardWaiting();
    account.release();
  }
}
