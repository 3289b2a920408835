package io.kumquatspindle.node.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import java.util.concurrent.TimeUnit;

/**
 * Pauses reading from a connection while its {@link PartAllowance} is used up, or while the
 * receiver of its content cannot take more. Stands behind the codec.
 */
final class PartThrottle extends ChannelInboundHandlerAdapter {
  private final PartAllowance allowance = new PartAllowance(System.nanoTime());
  private int parts;
  private long bytes;
  private boolean wanted = true;
  private boolean paused;

  /**
   * Pauses or resumes reading on behalf of the receiver.
   *
   * @param channel the channel of this handler
   * @param enabled whether the receiver can take more
   */
  void setReading(Channel channel, boolean enabled) {
    wanted = enabled;
    apply(channel);
  }

  private void apply(Channel channel) {
    channel.config().setAutoRead(wanted && !paused);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpObject) {
      parts++;
    }
    if (message instanceof HttpContent content) {
      bytes += content.content().readableBytes();
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    long pauseMs = allowance.spend(parts, bytes, System.nanoTime());
    parts = 0;
    bytes = 0;
    if (pauseMs > 0 && !paused) {
      paused = true;
      apply(ctx.channel());
      ctx.executor().schedule(() -> resume(ctx.channel()), pauseMs, TimeUnit.MILLISECONDS);
    }
    ctx.fireChannelReadComplete();
  }

  private void resume(Channel channel) {
    paused = false;
    apply(channel);
  }
}
