package io.kumquatspindle.bench.processes;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** One connection through a relay; all methods run on the relay's thread. */
final class RelayedConnection {
  // First byte of a MessagePack text of up to 31 bytes, without the length.
  private static final int SHORT_TEXT = 0xa0;

  private final Relay relay;
  private final Channel front;
  private final Side backSide;
  private Channel back;
  private String source = "";
  private boolean identified;
  private boolean silentForEver;
  private ByteBuf held;

  RelayedConnection(Relay relay, Channel front) {
    this.relay = relay;
    this.front = front;
    this.backSide = new Side();
    this.identified = relay.knownSources().isEmpty();
    front.pipeline().addLast(new Side());
  }

  ChannelInboundHandlerAdapter backHandler() {
    return backSide;
  }

  void connected(ChannelFuture f) {
    if (!f.isSuccess() || !front.isActive()) {
      f.channel().close();
      close();
      return;
    }
    back = f.channel();
    apply();
  }

  void silenceForEver() {
    silentForEver = true;
    apply();
  }

  void close() {
    front.close();
    if (back != null) {
      back.close();
    }
    if (held != null) {
      held.release();
      held = null;
    }
    relay.closed(this);
  }

  /** Puts the relay's mode into effect. */
  void apply() {
    Relay.Mode mode = relay.modeFor(source);
    if (mode == Relay.Mode.CUT) {
      close();
    } else if (back != null) {
      boolean read = mode == Relay.Mode.PASS && !silentForEver;
      if (read && held != null) {
        back.writeAndFlush(held);
        held = null;
      }
      front.config().setAutoRead(read);
      back.config().setAutoRead(read);
    }
  }

  // The sender names itself first; a message that follows in the same segment may name others.
  private void identify(ByteBuf data) {
    int first = Integer.MAX_VALUE;
    for (String name : relay.knownSources()) {
      int at = indexOf(data, name);
      if (at >= 0 && at < first) {
        first = at;
        source = name;
        identified = true;
      }
    }
    apply();
  }

  private static int indexOf(ByteBuf data, String name) {
    byte[] text = name.getBytes(StandardCharsets.UTF_8);
    for (int i = data.readerIndex(); i + text.length < data.writerIndex(); i++) {
      if (data.getUnsignedByte(i) == (SHORT_TEXT | text.length) && matches(data, i + 1, text)) {
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

  /** Passes on what one of the two channels receives. */
  private final class Side extends ChannelInboundHandlerAdapter {
    private long lastDueNanos = System.nanoTime();

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      Channel to = ctx.channel() == front ? back : front;
      if (ctx.channel() == front && !identified) {
        identify((ByteBuf) msg);
        if (relay.modeFor(source) == Relay.Mode.SILENT) {
          held = (ByteBuf) msg;
          return;
        }
      }
      long now = System.nanoTime();
      // A shorter delay must not let later data overtake earlier data.
      lastDueNanos = Math.max(lastDueNanos, now + relay.delay().toNanos());
      if (lastDueNanos <= now) {
        to.writeAndFlush(msg);
      } else {
        ctx.channel()
            .eventLoop()
            .schedule(() -> to.writeAndFlush(msg), lastDueNanos - now, TimeUnit.NANOSECONDS);
      }
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
