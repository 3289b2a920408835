package io.kumquatspindle.node.peer;

import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.node.NodeContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Connections to the other VMs. Each VM sends on connections that it opened itself, so a connection
 * that went silent shows at the receiver, which says so in its next digest.
 */
public final class PeerNetwork implements PeerLinks {
  private static final int MOST_FRAME_BYTES = 1 << 20;
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_MS = 500;

  /** Pause before a failed connection is opened again, in ms. */
  private static final long RECONNECT_MS = 500;

  private final NodeContext node;
  private final Consumer<PeerMessage> receiver;
  private final Map<String, Channel> outgoing = new HashMap<>();
  private final Map<String, Long> notBefore = new HashMap<>();
  private final Set<String> connecting = new HashSet<>();
  private final String self;

  /**
   * Creates the network.
   *
   * @param node shared context
   * @param receiver gets the messages of other VMs, on the event loop
   */
  public PeerNetwork(NodeContext node, Consumer<PeerMessage> receiver) {
    this.node = node;
    this.receiver = receiver;
    this.self = node.settings().ip() + ":" + node.settings().peerPort();
  }

  /**
   * Opens the port.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    new ServerBootstrap()
        .group(node.loop())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(framing(true))
        .bind(node.settings().ip(), node.settings().peerPort())
        .sync();
  }

  @Override
  public String self() {
    return self;
  }

  @Override
  public void send(Collection<String> addresses, PeerMessage message) {
    if (addresses.isEmpty()) {
      return;
    }
    byte[] encoded = encode(message);
    String kind = message.label();
    for (String address : addresses) {
      Channel c = outgoing.get(address);
      if (c == null || !c.isActive()) {
        connect(address, kind, encoded);
      } else if (c.isWritable()) {
        write(c, kind, encoded);
      } else {
        reset(address);
      }
    }
  }

  private static byte[] encode(PeerMessage message) {
    try {
      return PeerCodec.encode(message);
    } catch (IOException e) {
      throw new IllegalStateException("a message could not be encoded", e);
    }
  }

  private void write(Channel c, String kind, byte[] encoded) {
    node.metrics().counter(MetricsText.name("peer_sent_total", "kind", kind)).inc();
    node.metrics().counter("peer_sent_bytes_total").inc(encoded.length);
    c.writeAndFlush(Unpooled.wrappedBuffer(encoded));
  }

  @Override
  public void reset(String address) {
    Channel c = outgoing.remove(address);
    if (c != null) {
      c.close();
    }
  }

  private void connect(String address, String kind, byte[] first) {
    long now = node.now();
    if (connecting.contains(address) || now < notBefore.getOrDefault(address, 0L)) {
      return;
    }
    connecting.add(address);
    int colon = address.lastIndexOf(':');
    ChannelFuture f =
        new Bootstrap()
            .group(node.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(framing(false))
            .connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    f.addListener(
        done -> {
          connecting.remove(address);
          if (done.isSuccess()) {
            outgoing.put(address, f.channel());
            write(f.channel(), kind, first);
          } else {
            notBefore.put(address, node.now() + RECONNECT_MS);
          }
        });
  }

  private ChannelInitializer<Channel> framing(boolean reads) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel ch) {
        ch.pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MOST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new Frames(reads));
      }
    };
  }

  private final class Frames extends SimpleChannelInboundHandler<ByteBuf> {
    private final boolean reads;

    private Frames(boolean reads) {
      this.reads = reads;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
      if (reads) {
        receiver.accept(PeerCodec.decode(ByteBufUtil.getBytes(frame)));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      node.log().line("peer_error").field("reason", String.valueOf(cause.getMessage())).write();
      ctx.close();
    }
  }
}
