package io.kumquatspindle.entry.http;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.transport.callers.ConnectionClosings;
import io.kumquatspindle.transport.callers.InboundConnections;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/** Bounds the connections to the admin pages and the bytes of their unfinished requests. */
final class AdminGuard implements ConnectionGuard {
  /** Maximum number of connections; the platform and operators use a few. */
  private static final int MAX_CONNECTIONS = 32;

  private final InboundConnections connections;

  AdminGuard(ConnectionClosings closings, MonotonicClock clock) {
    connections = new InboundConnections(closings, clock, MAX_CONNECTIONS);
  }

  @Override
  public void install(Channel channel) {
    Optional<InboundConnections.Guard> guard = connections.admit(channel);
    if (guard.isEmpty()) {
      channel.close();
      return;
    }
    String codec = channel.pipeline().context(HttpServerCodec.class).name();
    channel.pipeline().addFirst("connection-guard", guard.get());
    channel.pipeline().addAfter(codec, "message-watch", new MessageWatch(guard.get()));
  }

  /** Records complete requests. A caller that does not read its responses is not answered. */
  private static final class MessageWatch extends ChannelInboundHandlerAdapter {
    private final InboundConnections.Guard guard;

    private MessageWatch(InboundConnections.Guard guard) {
      this.guard = guard;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof LastHttpContent) {
        guard.onMessage();
      }
      context.fireChannelRead(message);
      if (!context.channel().isWritable()) {
        context.close();
      }
    }
  }
}
