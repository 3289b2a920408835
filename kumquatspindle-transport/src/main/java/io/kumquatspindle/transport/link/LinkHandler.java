package io.kumquatspindle.transport.link;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.message.LinkMessage;
import io.kumquatspindle.transport.codec.MessageCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;

/** Translates the frames and idle timeouts of a channel into {@link LinkListener} events. */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ChannelLink link;
  private final LinkOptions options;
  private final TrafficHandler traffic;
  private final PauseDetector pauses;
  private boolean opened;
  private boolean pauseExcused;

  private LinkHandler(ChannelLink link, LinkOptions options, TrafficHandler traffic) {
    this.link = link;
    this.options = options;
    this.traffic = traffic;
    this.pauses = new PauseDetector(options.heartbeatMs());
  }

  /** Installs the handlers of a link in the pipeline of a new channel. */
  static ChannelLink install(Channel channel, LinkOptions options) {
    LinkMetrics metrics = options.runtime.metrics();
    TrafficHandler traffic = new TrafficHandler(metrics);
    ChannelLink link = new ChannelLink(channel, metrics, traffic);
    int maxFrame = ChannelLink.LENGTH_BYTES + ChannelLink.MAX_ENVELOPE_BYTES;
    int length = ChannelLink.LENGTH_BYTES;
    channel
        .pipeline()
        .addLast(traffic)
        .addLast(new LengthFieldBasedFrameDecoder(maxFrame, 0, length, 0, length))
        // Placed after the frame decoder so that only complete frames reset the read timeout.
        .addLast(
            new IdleStateHandler(
                options.silenceLimitMs(), options.heartbeatMs(), 0, TimeUnit.MILLISECONDS))
        .addLast(new LinkHandler(link, options, traffic));
    return link;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    opened = true;
    pauses.start(ctx.executor());
    notifyListener(() -> options.listener.opened(link));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws Exception {
    if (!link.isOpen()) {
      // Netty still delivers frames that were read before the channel was closed.
      return;
    }
    traffic.frameReceived();
    pauseExcused = false;
    Envelope envelope = MessageCodec.decode(ByteBufUtil.getBytes(frame));
    if (envelope.body() instanceof LinkMessage.Heartbeat) {
      return;
    }
    if (envelope.body() instanceof EntryMessage.EntryHello) {
      traffic.countAsEntryLink();
    }
    if (envelope.replyTo() != 0) {
      link.onReply(envelope);
    } else {
      notifyListener(() -> options.listener.received(link, envelope));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof IdleStateEvent idle)) {
      ctx.fireUserEventTriggered(event);
    } else if (idle.state() == IdleState.READER_IDLE) {
      onSilence();
    } else {
      link.send(new LinkMessage.Heartbeat());
    }
  }

  /**
   * Closes the connection, unless this thread itself paused: the remote side may have sent frames
   * that have not been read yet. Only one silence limit in a row is excused, so that frequent
   * pauses do not keep a dead connection open.
   */
  private void onSilence() {
    if (!pauseExcused && pauses.pausedWithin(options.silenceLimitMs())) {
      pauseExcused = true;
      return;
    }
    link.close("no frame for " + options.silenceLimitMs() + " ms");
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pauses.stop();
    String reason = link.onClosed();
    if (opened) {
      notifyListener(() -> options.listener.closed(link, reason));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    link.close(String.valueOf(cause.getMessage()));
  }

  // An exception thrown by the listener must not close the connection.
  private void notifyListener(Runnable notification) {
    try {
      notification.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "link listener threw an exception for connection %s", link);
    }
  }
}
