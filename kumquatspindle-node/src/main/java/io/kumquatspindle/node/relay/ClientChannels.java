package io.kumquatspindle.node.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Channels and codecs of HTTP clients. */
final class ClientChannels {
  /** Largest read from a connection before other connections have their turn, in bytes. */
  private static final int MAX_READ_BYTES = 16 * 1024;

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2 * 1024;

  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private ClientChannels() {}

  /** Returns a codec for one request and its response. */
  static HttpClientCodec newCodec() {
    HttpHeadersFactory headers = new BoundedHeadersFactory();
    return new HttpClientCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(headers)
            .setTrailersFactory(headers),
        HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
        true);
  }

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
        .option(
            ChannelOption.RCVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1))
        .handler(handler)
        .connect(host, port);
  }
}
