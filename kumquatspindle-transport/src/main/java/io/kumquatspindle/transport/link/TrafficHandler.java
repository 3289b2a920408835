package io.kumquatspindle.transport.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes and frames of one channel. Used on the channel's I/O thread only. */
final class TrafficHandler extends ChannelDuplexHandler {
  private final LinkMetrics metrics;
  private LinkMetrics.Traffic traffic;
  private boolean active;

  TrafficHandler(LinkMetrics metrics) {
    this.metrics = metrics;
    this.traffic = metrics.of(LinkMetrics.Kind.PEER);
  }

  /** Counts the channel as one of an entry program from now on. */
  void entry() {
    LinkMetrics.Traffic now = metrics.of(LinkMetrics.Kind.ENTRY);
    if (active && now != traffic) {
      traffic.connections.dec();
      now.connections.inc();
    }
    traffic = now;
  }

  void frameRead() {
    traffic.framesIn.inc();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    active = true;
    traffic.connections.inc();
    ctx.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (active) {
      active = false;
      traffic.connections.dec();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof ByteBuf bytes) {
      traffic.bytesIn.inc(bytes.readableBytes());
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf frame) {
      traffic.framesOut.inc();
      traffic.bytesOut.inc(frame.readableBytes());
    }
    ctx.write(message, promise);
  }
}
