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
      if (!c.pipeline().get(FrontHandler.class).busy()) {
        c.close();
      }
    }
  }

  /**
   * Returns the number of connections on which a request is being answered.
   *
   * @return number of connections
   */
  public long busy() {
    return open.stream().filter(c -> c.pipeline().get(FrontHandler.class).busy()).count();
  }

  private final class Setup extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel ch) {
      CallerLimits limits =
          node.configuration().map(FleetConfiguration::limits).orElse(CallerLimits.DEFAULTS);
      open.add(ch);
      ch.closeFuture().addListener(f -> open.remove(ch));
      ch.pipeline()
          .addLast(new HttpServerCodec(MOST_LINE_BYTES, limits.headerBytes(), CHUNK_BYTES))
          .addLast(new CallerTimeouts(limits))
          .addLast(new HttpObjectAggregator(limits.bodyBytes()))
          .addLast(new FrontHandler(node, exchanges));
    }
  }
}
