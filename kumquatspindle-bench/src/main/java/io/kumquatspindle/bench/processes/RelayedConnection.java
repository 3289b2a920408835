package io.kumquatspindle.bench.processes;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Connection through a {@link Relay}. All methods run on the relay's event loop. */
final class RelayedConnection {
  // First byte of a MessagePack string of up to 31 bytes (fixstr), without the length bits.
  private static final int FIXSTR_PREFIX = 0xa0;

  // A VM names itself in its first frame, which is shorter.
  private static final int MAX_HEAD_BYTES = 1_024;

  private final Relay relay;
  private final Channel clientChannel;
  private final ForwardingHandler targetHandler;
  private Channel targetChannel;
  private String source = "";
  private boolean identified;
  private boolean permanentlyStalled;
  private ByteBuf pendingData;

  /** The first bytes from the client, in which its name is searched. */
  private final ByteBuf head = Unpooled.buffer();

  RelayedConnection(Relay relay, Channel clientChannel) {
    this.relay = relay;
    this.clientChannel = clientChannel;
    this.targetHandler = new ForwardingHandler();
    this.identified = relay.knownSources().isEmpty();
    clientChannel.pipeline().addLast(new ForwardingHandler());
  }

  ChannelInboundHandlerAdapter targetHandler() {
    return targetHandler;
  }

  void connected(ChannelFuture f) {
    if (!f.isSuccess() || !clientChannel.isActive()) {
      f.channel().close();
      close();
      return;
    }
    targetChannel = f.channel();
    applyMode();
  }

  void stallPermanently() {
    permanentlyStalled = true;
    applyMode();
  }

  void close() {
    clientChannel.close();
    if (targetChannel != null) {
      targetChannel.close();
    }
    if (pendingData != null) {
      pendingData.release();
      pendingData = null;
    }
    relay.remove(this);
  }

  /** Applies the current mode of the relay to this connection. */
  void applyMode() {
    Relay.Mode mode = relay.modeFor(source);
    if (mode == Relay.Mode.CUT) {
      close();
    } else if (targetChannel != null) {
      boolean forward = mode == Relay.Mode.FORWARD && !permanentlyStalled;
      if (forward && pendingData != null && !awaitsName()) {
        targetChannel.writeAndFlush(pendingData);
        pendingData = null;
      }
      clientChannel.config().setAutoRead(forward);
      targetChannel.config().setAutoRead(forward);
    }
  }

  /** Returns whether data is held back because the mode depends on a name that is not known yet. */
  private boolean awaitsName() {
    return !identified && relay.affectsKnownSource();
  }

  // The client sends its own name first, possibly in several segments; later messages may contain
  // other names.
  private void identifySource(ByteBuf data) {
    int length = Math.min(data.readableBytes(), MAX_HEAD_BYTES - head.readableBytes());
    head.writeBytes(data, data.readerIndex(), length);
    int first = Integer.MAX_VALUE;
    for (String name : relay.knownSources()) {
      int at = indexOf(head, name);
      if (at >= 0 && at < first) {
        first = at;
        source = name;
        identified = true;
      }
    }
    identified |= head.readableBytes() == MAX_HEAD_BYTES;
    applyMode();
  }

  private static int indexOf(ByteBuf data, String name) {
    byte[] text = name.getBytes(StandardCharsets.UTF_8);
    for (int i = data.readerIndex(); i + text.length < data.writerIndex(); i++) {
      if (data.getUnsignedByte(i) == (FIXSTR_PREFIX | text.length) && matches(data, i + 1, text)) {
        return i;
      }
    }
    return -1;
  }

  private static boolean matches(ByteBuf data, int from, byte[] text) {
    for (int i = 0; i < text.length; i++) {
      if (data.getByte(from + i) != text[i]) {
        return false;
      }
    }
    return true;
  }

  /** Forwards the data that one of the two channels receives to the other one. */
  private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private long lastDueNanos = System.nanoTime();

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      Channel to = ctx.channel() == clientChannel ? targetChannel : clientChannel;
      if (ctx.channel() == clientChannel && !identified) {
        identifySource((ByteBuf) msg);
        if (relay.modeFor(source) == Relay.Mode.STALL || awaitsName()) {
          holdBack((ByteBuf) msg);
          return;
        }
      }
      long now = System.nanoTime();
      // Keeps the order of the data when the delay is reduced.
      lastDueNanos = Math.max(lastDueNanos, now + relay.delay().toNanos());
      if (lastDueNanos <= now) {
        to.writeAndFlush(msg);
      } else {
        ctx.channel()
            .eventLoop()
            .schedule(() -> to.writeAndFlush(msg), lastDueNanos - now, TimeUnit.NANOSECONDS);
      }
    }

    private void holdBack(ByteBuf data) {
      pendingData = pendingData == null ? data : Unpooled.wrappedBuffer(pendingData, data);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      long wait = Math.max(0, lastDueNanos - System.nanoTime());
      ctx.channel().eventLoop().schedule(RelayedConnection.this::close, wait, TimeUnit.NANOSECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      close();
    }
  }
}
