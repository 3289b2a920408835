package io.kumquatspindle.standins.http;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening address whose connections are served by the shared Jooby server. */
public final class Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int BACKLOG = 1024;
  private static final Duration REBIND_RETRY_DELAY = Duration.ofMillis(50);

  private final HttpHost host;
  private final StandIn standIn;
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private volatile InetSocketAddress address;
  private volatile Channel channel;

  Listener(HttpHost host, StandIn standIn, InetSocketAddress address) {
    this.host = host;
    this.standIn = standIn;
    this.address = address;
  }

  /**
   * Returns the port that is listened on.
   *
   * @return the port, never 0
   */
  public int port() {
    return address.getPort();
  }

  /** Closes every open connection. */
  public void closeConnections() {
    connections.forEach(Connection::close);
  }

  /**
   * Closes the listening socket and every connection, and listens again after some time.
   *
   * @param time how long connections are refused
   */
  public void takeDown(Duration time) {
    channel.close();
    closeConnections();
    host.timers().after(time, this::rebind);
  }

  StandIn standIn() {
    return standIn;
  }

  void bind() throws IOException {
    ServerChannel primary = host.primaryChannel();
    ServerBootstrap b = new ServerBootstrap();
    b.group(primary.eventLoop()).channel(primary.getClass());
    b.option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, BACKLOG);
    b.handler(new AcceptHandler()).childHandler(new ChannelInboundHandlerAdapter());
    try {
      channel = b.bind(address).sync().channel();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + address, e);
    } catch (Exception e) { // Netty throws the checked BindException without declaring it.
      throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
    address = (InetSocketAddress) channel.localAddress();
  }

  private void rebind() {
    try {
      bind();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot bind the listening address again; will retry");
      host.timers().after(REBIND_RETRY_DELAY, this::rebind);
    }
  }

  private void accept(Channel child) {
    Connection c = new Connection(child, this);
    connections.add(c);
    String number = host.register(c);
    child
        .closeFuture()
        .addListener(
            f -> {
              connections.remove(c);
              host.unregister(number);
            });
    child.pipeline().addLast(new ConnectionTagHandler(number));
    // The acceptor of Jooby's own listener adds the HTTP handlers and registers the connection with
    // Jooby's event loops. A separate server for each address would need two more threads each.
    host.primaryChannel().pipeline().fireChannelRead(child);
  }

  private final class AcceptHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      accept((Channel) msg);
    }
  }
}
