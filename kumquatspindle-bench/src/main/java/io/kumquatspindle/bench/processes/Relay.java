package io.kumquatspindle.bench.processes;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * TCP proxy on the loopback address that injects network faults: it can disconnect, stall or delay
 * connections.
 *
 * <p>A relay that is given the names of sources identifies the source of a connection by the first
 * of these names in the data that the client sends. Faults can then be limited to the connections
 * of some sources. Each call that changes the mode replaces the previous one.
 */
public final class Relay implements AutoCloseable {
  // A single thread serves all relays, so that the effects of mode changes are ordered.
  private static final EventLoopGroup EVENT_LOOP =
      new NioEventLoopGroup(1, new DefaultThreadFactory("relay", true));

  private final InetSocketAddress target;
  private final List<String> knownSources;
  private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
  private final Channel listener;
  private volatile Mode mode = Mode.FORWARD;
  private volatile Predicate<String> affectedSources = source -> true;
  private volatile Duration delay = Duration.ZERO;

  private Relay(InetSocketAddress target, Collection<String> knownSources, int port)
      throws IOException {
    this.target = target;
    this.knownSources = List.copyOf(knownSources);
    this.listener = listen(port);
  }

  /** What happens to the affected connections. */
  enum Mode {
    FORWARD,
    CUT,
    STALL
  }

  /**
   * Starts a relay on a free port.
   *
   * @param target the address to forward to
   * @return the relay
   * @throws IOException if it cannot listen
   */
  public static Relay to(InetSocketAddress target) throws IOException {
    return new Relay(target, List.of(), 0);
  }

  /**
   * Starts a relay on a given port that identifies the sources of its connections.
   *
   * @param target the address to forward to
   * @param port the port to listen on
   * @param knownSources the names of sources, which clients send as MessagePack strings at the
   *     start of a connection
   * @return the relay
   * @throws IOException if it cannot listen
   */
  public static Relay to(InetSocketAddress target, int port, Collection<String> knownSources)
      throws IOException {
    return new Relay(target, knownSources, port);
  }

  /**
   * Returns the port that the relay listens on.
   *
   * @return the port
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Forwards all data again. Connections that were stalled deliver the data held back so far. */
  public void forward() {
    setMode(Mode.FORWARD, source -> true);
  }

  /** Closes all connections, and every new connection immediately. */
  public void cut() {
    setMode(Mode.CUT, source -> true);
  }

  /**
   * Closes all connections of some sources, and every new connection of them once identified.
   *
   * @param sources the names of the sources
   */
  public void cut(Set<String> sources) {
    setMode(Mode.CUT, Set.copyOf(sources)::contains);
  }

  /** Keeps all connections open and accepts new ones, but forwards no data. */
  public void stall() {
    setMode(Mode.STALL, source -> true);
  }

  /**
   * Keeps the connections of some sources open, but forwards no data on them.
   *
   * @param sources the names of the sources
   */
  public void stall(Set<String> sources) {
    setMode(Mode.STALL, Set.copyOf(sources)::contains);
  }

  /** Stalls the connections that are open now permanently; new connections are not affected. */
  public void stallOpenConnections() {
    runOnEventLoop(() -> connections.forEach(RelayedConnection::stallPermanently));
  }

  /**
   * Delays all data in both directions.
   *
   * @param duration the delay of each byte; zero for no delay
   */
  public void delay(Duration duration) {
    this.delay = duration;
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    runOnEventLoop(() -> connections.forEach(RelayedConnection::close));
  }

  Duration delay() {
    return delay;
  }

  List<String> knownSources() {
    return knownSources;
  }

  /** Returns the mode of a connection; the empty string stands for an unidentified source. */
  Mode modeFor(String source) {
    return affectedSources.test(source) ? mode : Mode.FORWARD;
  }

  /** Returns whether the connections of some known source are cut or stalled. */
  boolean affectsKnownSource() {
    return mode != Mode.FORWARD && knownSources.stream().anyMatch(affectedSources);
  }

  void remove(RelayedConnection c) {
    connections.remove(c);
  }

  private void setMode(Mode newMode, Predicate<String> sources) {
    runOnEventLoop(
        () -> {
          mode = newMode;
          affectedSources = sources;
          connections.forEach(RelayedConnection::applyMode);
        });
  }

  private static void runOnEventLoop(Runnable r) {
    EVENT_LOOP.submit(r).syncUninterruptibly();
  }

  private Channel listen(int port) throws IOException {
    ServerBootstrap b = new ServerBootstrap();
    b.group(EVENT_LOOP).channel(NioServerSocketChannel.class);
    b.option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.AUTO_READ, false);
    b.childHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel clientChannel) {
            accept(clientChannel);
          }
        });
    try {
      return b.bind(new InetSocketAddress("127.0.0.1", port)).sync().channel();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding port " + port, e);
    } catch (Exception e) { // Netty rethrows the checked BindException undeclared.
      throw new IOException("cannot listen on port " + port + ": " + e.getMessage(), e);
    }
  }

  private void accept(Channel clientChannel) {
    if (modeFor("") == Mode.CUT) {
      clientChannel.close();
      return;
    }
    RelayedConnection c = new RelayedConnection(this, clientChannel);
    connections.add(c);
    Bootstrap b = new Bootstrap();
    b.group(EVENT_LOOP).channel(NioSocketChannel.class).option(ChannelOption.AUTO_READ, false);
    b.handler(c.targetHandler());
    b.connect(target).addListener((ChannelFuture f) -> c.connected(f));
  }
}
