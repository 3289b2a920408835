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

/** Listens on one address and accepts connections. */
public final class LinkServer implements AutoCloseable {
  /**
   * Above the high mark, {@link Link#send} returns false. A single frame may exceed the mark, since
   * it is checked before the frame is written.
   */
  static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(256 * 1024, 1024 * 1024);

  private static final int ACCEPT_BACKLOG = 128;
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
   * @param runtime the shared I/O threads and buffers
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
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
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
   * @return the port, chosen by the operating system if the configured port is 0
   */
  public int boundPort() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops listening and closes all accepted connections. Must not be called on an I/O thread. */
  @Override
  public void close() {
    closed = true;
    channel.close().awaitUninterruptibly(CLOSE_LIMIT_MS);
    links.forEach(l -> l.close("server closed"));
  }

  /** Builds a server. Defaults: heartbeat period 1 s, silence limit 3 s. */
  public static final class Builder {
    private final LinkOptions options;

    private Builder(LinkOptions options) {
      this.options = options;
    }

    /**
     * Sets the address to listen on (required).
     *
     * @param address IP address and port; port 0 lets the operating system choose a free port
     * @return this builder
     */
    public Builder address(InetSocketAddress address) {
      options.address(address);
      return this;
    }

    /**
     * Sets the time without an outgoing frame after which a heartbeat is sent.
     *
     * @param period at least 1 ms
     * @return this builder
     */
    public Builder heartbeat(Duration period) {
      options.heartbeat(period);
      return this;
    }

    /**
     * Sets the time without an incoming frame after which a connection is closed.
     *
     * @param limit at least twice the heartbeat period
     * @return this builder
     */
    public Builder silenceLimit(Duration limit) {
      options.silenceLimit(limit);
      return this;
    }

    /**
     * Starts listening.
     *
     * @return the server
     * @throws IOException if the address cannot be bound
     */
    public LinkServer start() throws IOException {
      options.validate();
      LinkServer server = new LinkServer(options);
      server.bind();
      return server;
    }
  }
}
