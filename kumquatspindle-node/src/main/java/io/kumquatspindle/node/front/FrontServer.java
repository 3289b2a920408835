package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.node.NodeContext;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.HashSet;
import java.util.Set;

/** Accepts callers' connections. */
public final class FrontServer {
  private static final int MOST_LINE_BYTES = 8_192;
  private static final int CHUNK_BYTES = 16_384;

  /** Connections that wait to be accepted. */
  private static final int BACKLOG = 512;

  /** Quiet time after which a connection is closed at a stop, in ms; a request may be coming. */
  private static final long CLOSE_IDLE_MS = 300;

  private final NodeContext node;
  private final ExchangeFactory exchanges;
  private final Set<Channel> open = new HashSet<>();
  private Channel listener;

  FrontServer(NodeContext node, ExchangeFactory exchanges) {
    this.node = node;
    this.exchanges = exchanges;
  }

  /**
   * Opens the port.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(node.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Setup())
            .bind(node.settings().ip(), node.settings().callerPort())
            .sync()
            .channel();
  }

  /** Closes the port; open connections stay. */
  public void stopAccepting() {
    listener.close();
  }

  /** Closes connections on which no request is being answered. */
  public void closeIdle() {
    for (Channel c : Set.copyOf(open)) {
      FrontHandler h = c.pipeline().get(FrontHandler.class);
      if (h != null && h.idleFor(CLOSE_IDLE_MS)) {
        c.close();
      }
    }
  }

  /**
   * Returns the number of open connections.
   *
   * @return number of connections
   */
  public int open() {
    return open.size();
  }

  /** Refuses the requests that still wait for an endpoint. */
  public void refuseWaiting() {
    Set.copyOf(open).forEach(c -> c.pipeline().get(FrontHandler.class).refuseWaiting());
  }

  private final class Setup extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel ch) {
      CallerLimits limits =
          node.configuration().map(FleetConfiguration::limits).orElse(CallerLimits.DEFAULTS);
      open.add(ch);
      ch.closeFuture().addListener(f -> open.remove(ch));
      ch.pipeline()
          .addLast(new HttpServerCodec(MOST_LINE_BYTES, limits.maxHeaderBytes(), CHUNK_BYTES))
          .addLast(new CallerTimeouts(limits))
          .addLast(new HttpObjectAggregator(limits.maxBodyBytes()))
          .addLast(new FrontHandler(node, exchanges));
    }
  }
}
