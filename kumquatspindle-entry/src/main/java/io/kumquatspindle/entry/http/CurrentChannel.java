package io.kumquatspindle.entry.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * Tracks the channel whose data an event loop is currently reading, since Jooby gives no access to
 * the channel of a request. Jooby handles a request while its data is being read.
 *
 * <p>Netty instantiates this class through {@code ServiceLoader} when the system property {@code
 * io.netty.bootstrap.extensions} is {@code serviceload}.
 */
public final class CurrentChannel extends ChannelInitializerExtension {
  private static final FastThreadLocal<Channel> CURRENT = new FastThreadLocal<>();

  /** Creates the extension; called by Netty. */
  public CurrentChannel() {}

  /**
   * Returns the channel whose data the calling event loop is reading.
   *
   * @return the channel
   * @throws IllegalStateException if the thread is not reading data of a caller's connection
   */
  static Channel get() {
    Channel channel = CURRENT.get();
    if (channel == null) {
      throw new IllegalStateException(
          "the current thread is not reading data of a caller's connection");
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
