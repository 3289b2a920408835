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
 * A TCP relay on the loopback address that can be cut, made silent or delayed.
 *
 * <p>If a relay knows names of sources, it looks for one in the first bytes that a connection
 * sends, and a disturbance can be limited to connections of some sources. A disturbance replaces
 * the one before.
 */
public final class Relay implements AutoCloseable {
  // One thread serves all relays, so that the effects of one call are in order.
  private static final EventLoopGroup LOOP =
      new NioEventLoopGroup(1, new DefaultThreadFactory("relay", true));

  private final InetSocketAddress target;
  private final List<String> knownSources;
  private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
  private final Channel listener;
  private volatile Mode mode = Mode.PASS;
  private volatile Predicate<String> affected = source -> true;
  private volatile Duration delay = Duration.ZERO;

  private Relay(InetSocketAddress target, Collection<String> knownSources, int port)
      throws IOException {
    this.target = target;
    this.knownSources = List.copyOf(knownSources);
    this.listener = listen(port);
  }

  /** What happens to connections that are affected. */
  enum Mode {
    PASS,
    CUT,
    SILENT
  }

  /**
   * Starts a relay on a free port.
   *
   * @param target address that it relays to
   * @return the relay
   * @throws IOException if it cannot listen
   */
  public static Relay to(InetSocketAddress target) throws IOException {
    return new Relay(target, List.of(), 0);
  }

  /**
   * Starts a relay on a given port that recognizes where connections come from.
   *
   * @param target address that it relays to
   * @param port the port to listen on
   * @param knownSources names that connections carry as MessagePack texts in their first bytes
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

  /** Ends cut and silence; a silent connection that is still open delivers what it held back. */
  public void pass() {
    change(Mode.PASS, source -> true);
  }

  /** Closes all connections, and every new one at once. */
  public void cut() {
    change(Mode.CUT, source -> true);
  }

  /**
   * Closes connections of some sources, and every new one of them at once.
   *
   * @param sources names of the sources
   */
  public void cut(Set<String> sources) {
    change(Mode.CUT, Set.copyOf(sources)::contains);
  }

  /** Keeps all connections open and accepts new ones, but carries no data. */
  public void silence() {
    change(Mode.SILENT, source -> true);
  }

  /**
   * Keeps connections of some sources open but carries no data on them.
   *
   * @param sources names of the sources
   */
  public void silence(Set<String> sources) {
    change(Mode.SILENT, Set.copyOf(sources)::contains);
  }

  /** Makes the connections that are open now silent for ever; new ones work. */
  public void silenceOpenConnections() {
    onLoop(() -> connections.forEach(RelayedConnection::silenceForEver));
  }

  /**
   * Delays all data in both directions.
   *
   * @param time delay of each byte; zero for none
   */
  public void delay(Duration time) {
    this.delay = time;
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    onLoop(() -> connections.forEach(RelayedConnection::close));
  }

  Duration delay() {
    return delay;
  }

  List<String> knownSources() {
    return knownSources;
  }

  /** Returns what happens to a connection; an empty source is one that is not known. */
  Mode modeFor(String source) {
    return affected.test(source) ? mode : Mode.PASS;
  }

  void closed(RelayedConnection c) {
    connections.remove(c);
  }

  private void change(Mode newMode, Predicate<String> sources) {
    onLoop(
        () -> {
          mode = newMode;
          affected = sources;
          connections.forEach(RelayedConnection::apply);
        });
  }

  private static void onLoop(Runnable r) {
    LOOP.submit(r).syncUninterruptibly();
  }

  private Channel listen(int port) throws IOException {
    ServerBootstrap b = new ServerBootstrap();
    b.group(LOOP).channel(NioServerSocketChannel.class);
    b.option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.AUTO_READ, false);
    b.childHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel front) {
            accept(front);
          }
        });
    try {
      return b.bind(new InetSocketAddress("127.0.0.1", port)).sync().channel();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding port " + port, e);
    } catch (Exception e) { // Netty throws the checked BindException undeclared.
      throw new IOException("cannot listen on port " + port + ": " + e.getMessage(), e);
    }
  }

  private void accept(Channel front) {
    if (modeFor("") == Mode.CUT) {
      front.close();
      return;
    }
    RelayedConnection c = new RelayedConnection(this, front);
    connections.add(c);
    Bootstrap b = new Bootstrap();
    b.group(LOOP).channel(NioSocketChannel.class).option(ChannelOption.AUTO_READ, false);
    b.handler(c.backHandler());
    b.connect(target).addListener((ChannelFuture f) -> c.connected(f));
  }
}
