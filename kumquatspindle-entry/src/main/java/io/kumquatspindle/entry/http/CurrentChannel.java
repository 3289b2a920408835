package io.kumquatspindle.entry.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ServerChannel;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * Tracks the channel whose data an event loop is currently reading, since Jooby gives no access to
 * the channel of a request. Jooby handles a request while its data is being read. Also lets the
 * {@link ConnectionGuard} of a listener add handlers to Jooby's pipeline.
 *
 * <p>Netty instantiates this class through {@code ServiceLoader} when the system property {@code
 * io.netty.bootstrap.extensions} is {@code serviceload}.
 */
public final class CurrentChannel extends ChannelInitializerExtension {
  private static final FastThreadLocal<Channel> CURRENT = new FastThreadLocal<>();

  private static final AttributeKey<ConnectionGuard> GUARD =
      AttributeKey.valueOf(CurrentChannel.class, "guard");

  private static final AttributeKey<AcceptLimit> LIMIT =
      AttributeKey.valueOf(CurrentChannel.class, "limit");

  /** Guard of the listener that the thread is starting. */
  private static final ThreadLocal<ConnectionGuard> STARTING = new ThreadLocal<>();

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

  /**
   * Runs code that starts a listener on the calling thread.
   *
   * @param guard guard of the connections of the listener
   * @param start the code
   */
  static void guarding(ConnectionGuard guard, Runnable start) {
    STARTING.set(guard);
    try {
      start.run();
    } finally {
      STARTING.remove();
    }
  }

  @Override
  public void postInitializeServerListenerChannel(ServerChannel channel) {
    channel.attr(GUARD).set(STARTING.get());
    channel.attr(LIMIT).set(new AcceptLimit(channel));
  }

  @Override
  public void postInitializeServerChildChannel(Channel channel) {
    channel.pipeline().addFirst(new Tracker());
    Channel listener = channel.parent();
    ConnectionGuard guard = listener == null ? null : listener.attr(GUARD).get();
    if (guard != null) {
      AcceptLimit limit = listener.attr(LIMIT).get();
      limit.onAccepted();
      // Runs after the initializer of Jooby, which was added before.
      channel
          .pipeline()
          .addLast(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel registered) {
                  limit.onRegistered();
                  guard.install(registered);
                }
              });
    }
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
