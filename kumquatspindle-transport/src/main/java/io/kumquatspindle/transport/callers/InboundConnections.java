package io.kumquatspindle.transport.callers;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.request.MemoryAccount;
import io.kumquatspindle.transport.callers.ConnectionClosings.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Optional;

/**
 * Bounds the number of connections to a port of this VM that is not for callers, and the bytes of
 * unfinished messages on them. Used on the event loop only.
 */
public final class InboundConnections {
  /** Part of the heap that unfinished messages may take: one in so many. */
  private static final long HEAP_SHARE = 16;

  /** Memory per byte: the decoder enlarges its buffer to the next power of two. */
  private static final long BYTES_PER_BYTE = 2;

  private final MonotonicClock clock;
  private final MemoryAccount<Channel> account =
      new MemoryAccount<>(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
  private final ConnectionClosings closings;
  private final int maxConnections;

  /**
   * Creates an instance without connections.
   *
   * @param closings records the connections that are closed
   * @param clock the clock
   * @param maxConnections maximum number of connections
   */
  public InboundConnections(ConnectionClosings closings, MonotonicClock clock, int maxConnections) {
    this.clock = clock;
    this.closings = closings;
    this.maxConnections = maxConnections;
  }

  /**
   * Admits a new connection. If there are too many, closes the one that has sent no message for the
   * longest time.
   *
   * @param channel the new connection
   * @return the first handler of its pipeline; empty if it must be closed
   */
  public Optional<Guard> admit(Channel channel) {
    closings.writeDueLines();
    if (account.size() >= maxConnections) {
      Optional<MemoryAccount<Channel>.Holder> silent =
          account.longestWithoutProgress(clock.nowMs());
      if (silent.isEmpty()) {
        closings.record(Reason.CONNECTIONS, 0);
        return Optional.empty();
      }
      close(silent.get(), Reason.CONNECTIONS);
    }
    return Optional.of(new Guard(account.open(channel, clock.nowMs())));
  }

  private void close(MemoryAccount<Channel>.Holder holder, Reason reason) {
    closings.record(reason, holder.bytes());
    holder.markClosing();
    holder.connection().close();
  }

  private void closeUntilWithinLimit() {
    long now = clock.nowMs();
    for (Optional<MemoryAccount<Channel>.Holder> next = account.nextToClose(now);
        next.isPresent();
        next = account.nextToClose(now)) {
      close(next.get(), Reason.MEMORY);
    }
  }

  /** Counts the bytes of one connection. */
  public final class Guard extends ChannelInboundHandlerAdapter {
    private final MemoryAccount<Channel>.Holder holder;

    private Guard(MemoryAccount<Channel>.Holder holder) {
      this.holder = holder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof ByteBuf data) {
        holder.resize(holder.bytes() + BYTES_PER_BYTE * data.readableBytes());
        closeUntilWithinLimit();
        if (holder.closing()) {
          data.release();
          return;
        }
      }
      ctx.fireChannelRead(message);
    }

    /** Records that a whole message has been decoded. */
    public void onMessage() {
      holder.resize(0);
      holder.recordProgress(clock.nowMs());
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
      holder.release();
    }
  }
}
