package io.kumquatspindle.transport.link;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.transport.codec.MessageCodec;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** A connection over a Netty channel. */
final class ChannelLink implements Link {
  /** Largest envelope, in bytes, without the length field. */
  static final int MAX_ENVELOPE_BYTES = 4 * 1024 * 1024;

  /** Size of the length field, in bytes. */
  static final int LENGTH_BYTES = 4;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;

  private final Channel channel;
  private final LinkMetrics metrics;
  private final TrafficHandler traffic;
  private final AtomicLong lastId = new AtomicLong();
  private final AtomicReference<String> closeReason = new AtomicReference<>();
  private final PendingAsks asks = new PendingAsks();

  ChannelLink(Channel channel, LinkMetrics metrics, TrafficHandler traffic) {
    this.channel = channel;
    this.metrics = metrics;
    this.traffic = traffic;
  }

  @Override
  public boolean send(Message message) {
    return write(new Envelope(lastId.incrementAndGet(), 0, message));
  }

  @Override
  public boolean reply(Envelope request, Message message) {
    return write(new Envelope(lastId.incrementAndGet(), request.id(), message));
  }

  @Override
  public CompletableFuture<Message> ask(Message message, Duration timeout) {
    long id = lastId.incrementAndGet();
    CompletableFuture<Message> reply = asks.add(id, timeout, channel.eventLoop());
    if (!reply.isDone() && !write(new Envelope(id, 0, message))) {
      String reason = isOpen() ? "write buffer full or message too large" : "connection closed";
      asks.fail(id, LinkException.Kind.NOT_SENT, reason);
    }
    return reply;
  }

  @Override
  public boolean isOpen() {
    return closeReason.get() == null && channel.isActive();
  }

  @Override
  public void close(String reason) {
    closeReason.compareAndSet(null, reason);
    ChannelFuture unused = channel.close();
  }

  @Override
  public String toString() {
    return String.valueOf(channel.remoteAddress());
  }

  void received(Envelope reply) {
    asks.complete(reply.replyTo(), reply.body());
  }

  /** Ends all asks; returns the first reason that was given for the end of the connection. */
  String closed() {
    closeReason.compareAndSet(null, "closed by the other side");
    String reason = closeReason.get();
    asks.close(reason);
    return reason;
  }

  // The allocation and the encoding happen on the caller's thread to keep them off the I/O thread.
  private boolean write(Envelope envelope) {
    if (!isOpen() || !channel.isWritable()) {
      return false;
    }
    byte[] bytes = MessageCodec.encode(envelope);
    if (bytes.length > MAX_ENVELOPE_BYTES) {
      logger.atSevere().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
          "message of kind %s has %d bytes, more than a frame holds",
          envelope.body().getClass().getSimpleName(), bytes.length);
      return false;
    }
    metrics.sent(envelope.body(), LENGTH_BYTES + bytes.length);
    if (envelope.body() instanceof EntryMessage.EntryHello) {
      channel.eventLoop().execute(traffic::entry);
    }
    ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + bytes.length);
    frame.writeInt(bytes.length).writeBytes(bytes);
    ChannelFuture unused = channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }
}
