package io.kumquatspindle.transport.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on one address. */
public final class LinkServer implements AutoCloseable {
  /** A full write buffer makes {@link Link#send} return false; one frame may exceed it. */
  static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(256 * 1024, 1024 * 1024);

  private static final int BACKLOG = 128;
  private static final long CLOSE_LIMIT_MS = 1000;

  private final LinkOptions options;
  private final Set<ChannelLink> links = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;
  private Channel channel;

  private LinkServer(LinkOptions options) {
    this.options = options;
  }

  /**
   * Returns a builder.
   *
   * @param runtime the I/O threads
   * @param listener receives the events of all accepted connections
   * @return the builder
   */
  public static Builder builder(LinkRuntime runtime, LinkListener listener) {
    return new Builder(new LinkOptions(runtime, listener));
  }

  private void bind() throws IOException {
    ServerBootstrap bootstrap = new ServerBootstrap();
    bootstrap
        .group(options.runtime.group())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.ALLOCATOR, options.runtime.allocator())
        .childOption(ChannelOption.ALLOCATOR, options.runtime.allocator())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel child) {
                accept(child);
              }
            });
    ChannelFuture bound = bootstrap.bind(options.address()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + options.address(), bound.cause());
    }
    channel = bound.channel();
  }

  private void accept(Channel child) {
    ChannelLink link = LinkHandler.install(child, options);
    links.add(link);
    child.closeFuture().addListener(f -> links.remove(link));
    if (closed) {
      link.close("server closed");
    }
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the port, which the system chose if the address had port 0
   */
  public int boundPort() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops listening and closes all accepted connections; must not be called on an I/O thread. */
  @Override
  public void close() {
    closed = true;
    channel.close().awaitUninterruptibly(CLOSE_LIMIT_MS);
    links.forEach(l -> l.close("server closed"));
  }

  /** Builds a server; heartbeats go out each second and the silence limit is 3 s by default. */
  public static final class Builder {
    private final LinkOptions options;

    private Builder(LinkOptions options) {
      this.options = options;
    }

    /**
     * Sets the address to listen on, which is required.
     *
     * @param address IP address and port; port 0 lets the system choose
     * @return this builder
     */
    public Builder address(InetSocketAddress address) {
      options.address(address);
      return this;
    }

    /**
     * Sets how long a connection may be without a frame to send before a heartbeat is sent.
     *
     * @param period at least 1 ms
     * @return this builder
     */
    public Builder heartbeat(Duration period) {
      options.heartbeat(period);
      return this;
    }

    /**
     * Sets how long a connection may be without a received frame before it is closed.
     *
     * @param limit at least twice the heartbeat period
     * @return this builder
     */
    public Builder silenceLimit(Duration limit) {
      options.silenceLimit(limit);
      return this;
    }

    /**
     * Starts to listen.
     *
     * @return the server
     * @throws IOException if the address cannot be listened on
     */
    public LinkServer start() throws IOException {
      options.check();
      LinkServer server = new LinkServer(options);
      server.bind();
      return server;
    }
  }
}
