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

/** A {@link Link} over a Netty channel. */
final class ChannelLink implements Link {
  /** Maximum size of an encoded envelope in bytes, excluding the length field. */
  static final int MAX_ENVELOPE_BYTES = 4 * 1024 * 1024;

  /** Size of the length field in bytes. */
  static final int LENGTH_BYTES = 4;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;

  private final Channel channel;
  private final LinkMetrics metrics;
  private final TrafficHandler traffic;
  private final AtomicLong lastId = new AtomicLong();
  private final AtomicReference<String> closeReason = new AtomicReference<>();
  private final PendingReplies pendingRequests = new PendingReplies();

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
  public CompletableFuture<Message> request(Message message, Duration timeout) {
    long id = lastId.incrementAndGet();
    CompletableFuture<Message> reply = pendingRequests.add(id, timeout, channel.eventLoop());
    if (!reply.isDone() && !write(new Envelope(id, 0, message))) {
      String reason =
          isOpen()
              ? "write buffer full or message larger than the frame limit"
              : "connection closed";
      pendingRequests.fail(id, LinkException.Kind.NOT_SENT, reason);
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

  void onReply(Envelope reply) {
    pendingRequests.complete(reply.replyTo(), reply.body());
  }

  /** Fails all pending requests and returns the first reason given for closing the connection. */
  String onClosed() {
    closeReason.compareAndSet(null, "closed by the remote side");
    String reason = closeReason.get();
    pendingRequests.close(reason);
    return reason;
  }

  // Encodes and allocates on the caller's thread to keep this work off the I/O thread.
  private boolean write(Envelope envelope) {
    if (!isOpen() || !channel.isWritable()) {
      return false;
    }
    byte[] bytes = MessageCodec.encode(envelope);
    if (bytes.length > MAX_ENVELOPE_BYTES) {
      logger.atSevere().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
          "message %s not sent: its %d bytes exceed the frame limit",
          envelope.body().getClass().getSimpleName(), bytes.length);
      return false;
    }
    metrics.messageSent(envelope.body(), LENGTH_BYTES + bytes.length);
    if (envelope.body() instanceof EntryMessage.EntryHello) {
      channel.eventLoop().execute(traffic::countAsEntryLink);
    }
    ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + bytes.length);
    frame.writeInt(bytes.length).writeBytes(bytes);
    ChannelFuture unused = channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }
}
