package io.kumquatspindle.transport.callers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Merges the chunks of a body as they arrive and passes the body on as one part, so that its memory
 * does not depend on the number of chunks. Stands before the aggregator.
 */
public final class BodyMerger extends ChannelInboundHandlerAdapter {
  private static final int FIRST_SEGMENT_BYTES = 1_024;
  private static final int MAX_SEGMENT_BYTES = 65_536;

  private final CallerAccount account;
  private final int maxBytes;
  private CompositeByteBuf merged;
  private ByteBuf segment;
  private long bytes;

  /**
   * Creates a handler.
   *
   * @param account account of the connection
   * @param maxBytes largest body
   */
  public BodyMerger(CallerAccount account, int maxBytes) {
    this.account = account;
    this.maxBytes = maxBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpRequest) {
      discard();
      bytes = 0;
      ctx.fireChannelRead(message);
    } else if (message instanceof HttpContent content && content.decoderResult().isSuccess()) {
      add(ctx, content);
    } else {
      passOn(ctx);
      ctx.fireChannelRead(message);
    }
  }

  private void add(ChannelHandlerContext ctx, HttpContent content) {
    int count = content.content().readableBytes();
    bytes += count;
    account.onBodyBytes(count);
    if (bytes > maxBytes) {
      // The aggregator rejects the request and releases the rest of the body.
      passOn(ctx);
      ctx.fireChannelRead(content);
      return;
    }
    append(content.content());
    if (!(content instanceof LastHttpContent last)) {
      content.release();
      return;
    }
    passOn(ctx);
    if (count == 0) {
      ctx.fireChannelRead(last);
    } else {
      ctx.fireChannelRead(last.replace(Unpooled.EMPTY_BUFFER));
      last.release();
    }
  }

  private void append(ByteBuf data) {
    while (data.isReadable()) {
      if (segment == null || !segment.isWritable()) {
        addSegment();
      }
      segment.writeBytes(data, Math.min(data.readableBytes(), segment.writableBytes()));
    }
  }

  /** Starts a segment. Segments double in size, so that small bodies take little memory. */
  private void addSegment() {
    int size =
        segment == null ? FIRST_SEGMENT_BYTES : Math.min(MAX_SEGMENT_BYTES, 2 * segment.capacity());
    endSegment();
    segment = Unpooled.buffer(size, size);
    account.addToRequest(size);
  }

  private void endSegment() {
    if (segment != null) {
      if (merged == null) {
        merged = Unpooled.compositeBuffer(Integer.MAX_VALUE);
      }
      merged.addComponent(true, segment);
      segment = null;
    }
  }

  private void passOn(ChannelHandlerContext ctx) {
    endSegment();
    if (merged != null) {
      HttpContent body = new DefaultHttpContent(merged);
      merged = null;
      ctx.fireChannelRead(body);
    }
  }

  private void discard() {
    endSegment();
    if (merged != null) {
      merged.release();
      merged = null;
    }
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    discard();
  }
}
