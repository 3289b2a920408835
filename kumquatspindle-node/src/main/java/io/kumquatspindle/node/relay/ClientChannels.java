package io.kumquatspindle.node.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Opens the channels of HTTP clients. */
final class ClientChannels {
  private ClientChannels() {}

  /**
   * Connects to a server. The channel reports the server's end of the connection as {@link
   * io.netty.channel.socket.ChannelInputShutdownEvent} and stays open until its handler closes it:
   * a channel that becomes inactive without this event has been reset or closed on this side, and
   * does not end a response without framing.
   *
   * @param loop event loop of the channel
   * @param host IP address
   * @param port port
   * @param timeoutMs connect timeout in ms
   * @param handler handler that is installed first
   * @return the connect in progress
   */
  static ChannelFuture connect(
      EventLoop loop, String host, int port, int timeoutMs, ChannelHandler handler) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(handler)
        .connect(host, port);
  }
}
