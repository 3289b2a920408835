package io.kumquatspindle.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Merges the parts of a body that arrive with one read, so that what follows does its work once for
 * each read, however small the chunks are. Stands behind the codec. A part that comes alone is
 * passed on as it is.
 */
public final class ContentMerger extends ChannelInboundHandlerAdapter {
  private static final int INITIAL_BYTES = 1_024;

  private HttpContent first;
  private ByteBuf merged;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpContent content
        && !(message instanceof LastHttpContent)
        && !(message instanceof HttpMessage)
        && content.decoderResult().isSuccess()) {
      add(content);
    } else {
      passOn(ctx);
      ctx.fireChannelRead(message);
    }
  }

  private void add(HttpContent content) {
    if (first == null && merged == null) {
      first = content;
      return;
    }
    if (merged == null) {
      merged = Unpooled.buffer(INITIAL_BYTES).writeBytes(first.content());
      first.release();
      first = null;
    }
    merged.writeBytes(content.content());
    content.release();
  }

  private void passOn(ChannelHandlerContext ctx) {
    HttpContent content = merged == null ? first : new DefaultHttpContent(merged);
    first = null;
    merged = null;
    if (content != null) {
      ctx.fireChannelRead(content);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    passOn(ctx);
    ctx.fireChannelReadComplete();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    passOn(ctx);
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    passOn(ctx);
    ctx.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    ReferenceCountUtil.release(first);
    ReferenceCountUtil.release(merged);
    first = null;
    merged = null;
  }
}
