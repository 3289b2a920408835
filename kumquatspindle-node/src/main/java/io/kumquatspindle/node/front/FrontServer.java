package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.transport.callers.BodyMerger;
import io.kumquatspindle.transport.callers.CallerAccount;
import io.kumquatspindle.transport.callers.CallerCodec;
import io.kumquatspindle.transport.callers.CallerInputGate;
import io.kumquatspindle.transport.callers.CallerMemory;
import io.kumquatspindle.transport.callers.CallerTimeouts;
import io.kumquatspindle.transport.callers.ConnectionClosings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** HTTP server for callers. */
public final class FrontServer {
  /** Maximum number of connections that wait to be accepted. */
  private static final int BACKLOG = 512;

  /** Largest read from a connection, in bytes. */
  private static final int MAX_READ_BYTES = 16_384;

  private static final int INITIAL_READ_BYTES = 2_048;
  private static final int MIN_READ_BYTES = 64;

  /** Maximum number of reads from a connection before other connections have their turn. */
  private static final int MAX_READS_PER_EVENT = 16;

  /** Idle time before a connection is closed at shutdown, in ms; a request may be in transit. */
  private static final long MIN_IDLE_BEFORE_CLOSE_MS = 300;

  /** Time for which a connection without any request is kept at shutdown, in ms. */
  private static final long MIN_UNUSED_BEFORE_CLOSE_MS = 1_000;

  /**
   * Time without a new connection after which the port is closed at shutdown, in ms. Connections
   * that the kernel has accepted meanwhile would be reset.
   */
  private static final long QUIET_BEFORE_CLOSE_MS = 300;

  private final NodeContext node;
  private final ExchangeFactory exchanges;
  private final CallerMemory memory;
  private final Set<Channel> connections = new HashSet<>();
  private Channel listener;
  private long lastAcceptedMs;

  FrontServer(NodeContext node, ExchangeFactory exchanges) {
    this.node = node;
    this.exchanges = exchanges;
    this.memory = callerMemory(node);
  }

  static CallerMemory callerMemory(NodeContext node) {
    return new CallerMemory(
        CallerMemory.Limits.of(node.settings().callerMemoryKb(), node.settings().maxDescriptors()),
        new ConnectionClosings(
            node.log()::connectionsClosed, node.metrics(), node.clock(), "callers"),
        node.clock(),
        node.loop());
  }

  /**
   * Opens the port.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    memory.start();
    listener =
        new ServerBootstrap()
            .group(node.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // Reads to the end of what has arrived, to see at once that a caller has left.
            .childOption(
                ChannelOption.RCVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_EVENT))
            .childHandler(new PipelineInitializer())
            .bind(node.settings().ip(), node.settings().callerPort())
            .sync()
            .channel();
  }

  /** Stops accepting connections; existing ones stay open. */
  public void stopAccepting() {
    listener.close();
  }

  /**
   * Returns whether nothing would be cut off if the port were closed now.
   *
   * @return whether no connection is open, and none has been accepted for a time
   */
  public boolean drained() {
    return connections.isEmpty() && node.now() - lastAcceptedMs >= QUIET_BEFORE_CLOSE_MS;
  }

  /** Closes idle connections, on which no request is being handled. */
  public void closeIdleConnections() {
    for (Channel c : Set.copyOf(connections)) {
      CallerConnectionHandler handler = c.pipeline().get(CallerConnectionHandler.class);
      if (handler != null
          && handler.idleFor(
              handler.unused() ? MIN_UNUSED_BEFORE_CLOSE_MS : MIN_IDLE_BEFORE_CLOSE_MS)) {
        c.close();
      }
    }
  }

  /**
   * Returns the number of open connections.
   *
   * @return number of connections
   */
  public int connectionCount() {
    return connections.size();
  }

  /** Rejects the requests that are still waiting for their model. */
  public void rejectWaitingRequests() {
    Set.copyOf(connections)
        .forEach(c -> c.pipeline().get(CallerConnectionHandler.class).rejectWaitingRequest());
  }

  /** Ends the requests that are still in progress, since the program exits. */
  public void failRemainingRequests() {
    Set.copyOf(connections)
        .forEach(c -> c.pipeline().get(CallerConnectionHandler.class).failRemainingRequest());
  }

  private final class PipelineInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel ch) {
      CallerLimits limits =
          node.configuration().map(FleetConfiguration::limits).orElse(CallerLimits.DEFAULTS);
      Optional<CallerAccount> admitted = memory.admit(ch);
      if (admitted.isEmpty()) {
        ch.close();
        return;
      }
      CallerAccount account = admitted.get();
      account.setUnreadLimitMs(limits.idleTimeoutMs());
      connections.add(ch);
      lastAcceptedMs = node.now();
      ch.closeFuture().addListener(f -> connections.remove(ch));
      CallerConnectionHandler handler = new CallerConnectionHandler(node, exchanges, account);
      ch.pipeline()
          .addLast(new CallerInputGate(account, CallerCodec.maxHeadBytes(limits)))
          .addLast(CallerCodec.create(limits, account))
          .addLast(new CallerTimeouts(limits, account, handler::recordActivity))
          .addLast(new BodyMerger(account, limits.maxBodyBytes()))
          .addLast(new RequestAggregator(limits.maxBodyBytes()))
          .addLast(handler);
    }
  }
}
