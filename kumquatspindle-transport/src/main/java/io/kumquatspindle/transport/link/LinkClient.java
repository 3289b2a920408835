package io.kumquatspindle.transport.link;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Maintains a connection to one address and reconnects with backoff when it is lost. */
public final class LinkClient implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;

  private final LinkOptions options;
  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final Backoff backoff;
  private volatile ChannelLink link;
  private volatile boolean closed;
  private long connectedAtNanos;

  private LinkClient(Builder builder) {
    options = builder.options;
    backoff =
        new Backoff(builder.minBackoff.toMillis(), builder.maxBackoff.toMillis(), builder.random);
    loop = options.runtime.group().next();
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, options.runtime.allocator())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) builder.connectTimeout.toMillis())
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, LinkServer.WATER_MARK)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    link = LinkHandler.install(channel, options);
                  }
                });
  }

  /**
   * Returns a builder.
   *
   * @param runtime the shared I/O threads and buffers
   * @param listener receives the events of every connection that the client opens
   * @return the builder
   */
  public static Builder builder(LinkRuntime runtime, LinkListener listener) {
    return new Builder(new LinkOptions(runtime, listener));
  }

  /**
   * Returns the current connection.
   *
   * @return the connection, or empty if the client is not connected
   */
  public Optional<Link> current() {
    ChannelLink l = link;
    return l != null && l.isOpen() ? Optional.of(l) : Optional.empty();
  }

  /** Closes the connection and stops reconnecting. */
  @Override
  public void close() {
    closed = true;
    ChannelLink l = link;
    if (l != null) {
      l.close("client closed");
    }
  }

  private void connect() {
    if (closed) {
      return;
    }
    ChannelFuture connectFuture = bootstrap.connect(options.address());
    connectFuture.addListener(f -> onConnectCompleted(connectFuture));
  }

  private void onConnectCompleted(ChannelFuture connectFuture) {
    if (!connectFuture.isSuccess()) {
      logger.atInfo().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
          "cannot connect to %s: %s", options.address(), connectFuture.cause().getMessage());
      scheduleReconnect();
      return;
    }
    connectedAtNanos = System.nanoTime();
    connectFuture.channel().closeFuture().addListener(f -> onConnectionLost());
    if (closed) {
      ChannelFuture unused = connectFuture.channel().close();
    }
  }

  // A connection that is lost within the silence limit counts as a failed attempt. Otherwise a
  // server that accepts and immediately closes connections would cause reconnects without backoff.
  private void onConnectionLost() {
    long openMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectedAtNanos);
    if (openMs >= options.silenceLimitMs()) {
      backoff.reset();
    }
    scheduleReconnect();
  }

  private void scheduleReconnect() {
    if (closed) {
      return;
    }
    try {
      Future<?> unused = loop.schedule(this::connect, backoff.nextMs(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      logger.atFine().log("I/O threads are stopped; not reconnecting to %s", options.address());
    }
  }

  /**
   * Builds a client. Defaults: heartbeat period 1 s, silence limit 3 s, connect timeout 500 ms,
   * backoff 50 ms to 1 s.
   */
  public static final class Builder {
    private final LinkOptions options;
    private Duration connectTimeout = Duration.ofMillis(500);
    private Duration minBackoff = Duration.ofMillis(50);
    private Duration maxBackoff = Duration.ofSeconds(1);
    private RandomGenerator random = RandomGenerator.getDefault();

    private Builder(LinkOptions options) {
      this.options = options;
    }

    /**
     * Sets the address to connect to (required).
     *
     * @param address IP address and port
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
     * Sets the time without an incoming frame after which the connection is closed.
     *
     * @param limit at least twice the heartbeat period
     * @return this builder
     */
    public Builder silenceLimit(Duration limit) {
      options.silenceLimit(limit);
      return this;
    }

    /**
     * Sets the timeout of a connection attempt.
     *
     * @param timeout at least 1 ms
     * @return this builder
     */
    public Builder connectTimeout(Duration timeout) {
      connectTimeout = LinkOptions.requirePositive(timeout, "connectTimeout");
      return this;
    }

    /**
     * Sets the delays between connection attempts.
     *
     * @param min initial delay, before jitter
     * @param max maximum delay
     * @return this builder
     */
    public Builder backoff(Duration min, Duration max) {
      minBackoff = LinkOptions.requirePositive(min, "min");
      maxBackoff = LinkOptions.requirePositive(max, "max");
      return this;
    }

    /**
     * Sets the source of randomness for the backoff jitter.
     *
     * @param random accessed from a single I/O thread only
     * @return this builder
     */
    public Builder random(RandomGenerator random) {
      this.random = random;
      return this;
    }

    /**
     * Starts connecting in the background and returns immediately.
     *
     * @return the client
     */
    public LinkClient start() {
      options.validate();
      LinkClient client = new LinkClient(this);
      client.loop.execute(client::connect);
      return client;
    }
  }
}
