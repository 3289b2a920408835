package io.kumquatspindle.node.peer;

import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.transport.callers.ConnectionClosings;
import io.kumquatspindle.transport.callers.InboundConnections;
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
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Exchanges messages with the other VMs over TCP. Each VM sends only on connections that it opened
 * itself, so a stalled connection is detected by the receiver, which reports it in its next digest.
 */
public final class TcpPeerTransport implements PeerTransport {
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MS = 500;

  /** Delay before a failed connection attempt is repeated, in ms. */
  private static final long RECONNECT_DELAY_MS = 500;

  /**
   * Part of the descriptors that connections from other VMs may use: one in so many. Each of the
   * other VMs opens one: 349 of them in the largest fleet, on VMs of 2,212 descriptors.
   */
  private static final int DESCRIPTOR_SHARE = 4;

  private final NodeContext node;
  private final InboundConnections inboundConnections;
  private final Consumer<NodeMessage> receiver;
  private final Map<String, Channel> outgoing = new HashMap<>();
  private final Map<String, Long> nextConnectMs = new HashMap<>();
  private final Set<String> connecting = new HashSet<>();
  private final String self;

  /**
   * Creates the transport.
   *
   * @param node shared context
   * @param receiver receives the messages of other VMs, on the event loop
   */
  public TcpPeerTransport(NodeContext node, Consumer<NodeMessage> receiver) {
    this.node = node;
    this.receiver = receiver;
    this.inboundConnections =
        new InboundConnections(
            new ConnectionClosings(
                node.log()::connectionsClosed, node.metrics(), node.clock(), "peers"),
            node.clock(),
            node.settings().maxDescriptors() / DESCRIPTOR_SHARE);
    this.self = node.settings().ip() + ":" + node.settings().peerPort();
  }

  /**
   * Starts to listen on the peer port.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    new ServerBootstrap()
        .group(node.loop())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer(true))
        .bind(node.settings().ip(), node.settings().peerPort())
        .sync();
  }

  @Override
  public String self() {
    return self;
  }

  @Override
  public void send(Collection<String> addresses, NodeMessage message) {
    if (addresses.isEmpty()) {
      return;
    }
    byte[] encoded = encode(message);
    String kind = message.label();
    // All receivers share one buffer; a heap buffer would be copied for each of them.
    ByteBuf frame = frame(encoded);
    try {
      for (String address : addresses) {
        Channel c = outgoing.get(address);
        if (c == null || !c.isActive()) {
          connect(address, kind, encoded);
        } else if (c.isWritable()) {
          c.writeAndFlush(frame.retainedDuplicate());
          count(kind, encoded.length);
        } else {
          reset(address);
        }
      }
    } finally {
      frame.release();
    }
  }

  private static ByteBuf frame(byte[] encoded) {
    return Unpooled.directBuffer(LENGTH_FIELD_BYTES + encoded.length)
        .writeInt(encoded.length)
        .writeBytes(encoded);
  }

  private void count(String kind, int bytes) {
    node.metrics().counter(MetricsText.name("peer_sent_total", "kind", kind)).inc();
    node.metrics().counter("peer_sent_bytes_total").inc(bytes);
  }

  private static byte[] encode(NodeMessage message) {
    try {
      return PeerCodec.encode(message);
    } catch (IOException e) {
      throw new IllegalStateException("could not encode peer message", e);
    }
  }

  @Override
  public void reset(String address) {
    Channel c = outgoing.remove(address);
    if (c != null) {
      c.close();
    }
  }

  private void connect(String address, String kind, byte[] firstMessage) {
    long now = node.now();
    if (connecting.contains(address) || now < nextConnectMs.getOrDefault(address, 0L)) {
      return;
    }
    connecting.add(address);
    int colon = address.lastIndexOf(':');
    ChannelFuture future =
        new Bootstrap()
            .group(node.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(initializer(false))
            .connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    future.addListener(
        done -> {
          connecting.remove(address);
          if (done.isSuccess()) {
            outgoing.put(address, future.channel());
            future.channel().writeAndFlush(frame(firstMessage));
            count(kind, firstMessage.length);
          } else {
            nextConnectMs.put(address, node.now() + RECONNECT_DELAY_MS);
          }
        });
  }

  private ChannelInitializer<Channel> initializer(boolean inbound) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel ch) {
        Optional<InboundConnections.Guard> guard =
            inbound ? inboundConnections.admit(ch) : Optional.empty();
        if (inbound && guard.isEmpty()) {
          ch.close();
          return;
        }
        guard.ifPresent(g -> ch.pipeline().addLast(g));
        ch.pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
            .addLast(new FrameHandler(guard));
      }
    };
  }

  private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Optional<InboundConnections.Guard> inbound;

    private FrameHandler(Optional<InboundConnections.Guard> inbound) {
      this.inbound = inbound;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
      if (inbound.isPresent()) {
        inbound.get().onMessage();
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
