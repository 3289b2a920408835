package io.kumquatspindle.transport.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes and frames of one channel. Confined to the channel's I/O thread. */
final class TrafficHandler extends ChannelDuplexHandler {
  private final LinkMetrics metrics;
  private LinkMetrics.Traffic traffic;
  private boolean active;

  TrafficHandler(LinkMetrics metrics) {
    this.metrics = metrics;
    this.traffic = metrics.counters(LinkMetrics.Kind.PEER);
  }

  /** Moves the channel from the {@code PEER} counters to the {@code ENTRY} counters. */
  void countAsEntryLink() {
    LinkMetrics.Traffic entryTraffic = metrics.counters(LinkMetrics.Kind.ENTRY);
    if (active && entryTraffic != traffic) {
      traffic.connections.dec();
      entryTraffic.connections.inc();
    }
    traffic = entryTraffic;
  }

  void frameReceived() {
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
