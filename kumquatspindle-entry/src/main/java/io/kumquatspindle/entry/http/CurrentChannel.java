package io.kumquatspindle.entry.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * Tells which channel's data an event loop handles at the moment, since Jooby gives no access to
 * the channel of a request. Jooby handles a request within the read of its data.
 *
 * <p>Netty instantiates this class through {@code ServiceLoader} when the system property {@code
 * io.netty.bootstrap.extensions} is {@code serviceload}.
 */
public final class CurrentChannel extends ChannelInitializerExtension {
  private static final FastThreadLocal<Channel> CURRENT = new FastThreadLocal<>();

  /** Creates the extension; called by Netty. */
  public CurrentChannel() {}

  /**
   * Returns the channel whose data the calling event loop handles.
   *
   * @return the channel
   * @throws IllegalStateException if the thread is not handling data of a caller's connection
   */
  static Channel get() {
    Channel channel = CURRENT.get();
    if (channel == null) {
      throw new IllegalStateException("not within the read of a caller's connection");
    }
    return channel;
  }

  @Override
  public void postInitializeServerChildChannel(Channel channel) {
    channel.pipeline().addFirst(new Tracker());
  }

  private static final class Tracker extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object data) {
      CURRENT.set(context.channel());
      try {
        context.fireChannelRead(data);
      } finally {
        CURRENT.remove();
      }
    }
  }
}
