package io.kumquatspindle.entry.http;

import io.jooby.Context;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.AttributeKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The Netty channel of a caller's connection. It gives what Jooby does not offer: closing the
 * connection, notice of the caller closing it, and one request at a time, since answers to
 * pipelined requests would otherwise arrive in the wrong order.
 */
final class CallerChannel {
  private static final AttributeKey<CallerChannel> CHANNEL_ATTRIBUTE =
      AttributeKey.valueOf(CallerChannel.class, "caller");
  private static final String CONTEXT_ATTRIBUTE = CallerChannel.class.getName();
  private static final int MAX_PIPELINED = 32;

  /** Time after which a caller that takes nothing loses its connection, in seconds. */
  static final long WRITE_STALL_TIMEOUT_SECONDS = 30;

  private final Channel channel;
  private final ArrayDeque<Runnable> queuedRequests = new ArrayDeque<>();
  private final List<Runnable> closeListeners = new ArrayList<>();
  private boolean requestRunning;
  private boolean closed;

  private CallerChannel(Channel channel) {
    this.channel = channel;
    channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
    channel.closeFuture().addListener(f -> notifyClosed());
  }

  // The first call for a request must be made within the read of its data.
  static CallerChannel of(Context context) {
    CallerChannel callerChannel = context.getAttribute(CONTEXT_ATTRIBUTE);
    if (callerChannel == null) {
      callerChannel = current();
      context.setAttribute(CONTEXT_ATTRIBUTE, callerChannel);
    }
    return callerChannel;
  }

  // The connection whose data the calling event loop reads.
  static CallerChannel current() {
    Channel channel = CurrentChannel.get();
    CallerChannel callerChannel = channel.attr(CHANNEL_ATTRIBUTE).get();
    if (callerChannel == null) {
      callerChannel = new CallerChannel(channel);
      channel.attr(CHANNEL_ATTRIBUTE).set(callerChannel);
    }
    return callerChannel;
  }

  // Runs a request when the earlier ones of the connection have ended. Event loop only.
  void submit(Runnable request) {
    if (requestRunning && queuedRequests.size() >= MAX_PIPELINED) {
      channel.close();
    } else if (requestRunning) {
      queuedRequests.add(request);
    } else {
      requestRunning = true;
      request.run();
    }
  }

  // Takes the next request when what has been written so far is on its way.
  void requestEnded(Runnable onWritten) {
    synchronized (closeListeners) {
      closeListeners.clear();
    }
    ChannelFuture flushed = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
    channel.eventLoop().execute(() -> checkProgress(flushed, -1));
    flushed.addListener(
        f -> {
          onWritten.run();
          runNextRequest();
        });
  }

  // Closes the connection if the caller has taken nothing since the last check.
  private void checkProgress(ChannelFuture flushed, long pendingBefore) {
    if (flushed.isDone()) {
      return;
    }
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long pending = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    if (pending == pendingBefore) {
      channel.close();
    } else {
      Runnable again = () -> checkProgress(flushed, pending);
      channel.eventLoop().schedule(again, WRITE_STALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  // The listener is dropped when the current request ends: a listener on the channel itself would
  // keep each request in memory for as long as its connection is open.
  void onClosed(Runnable listener) {
    synchronized (closeListeners) {
      if (!closed) {
        closeListeners.add(listener);
        return;
      }
    }
    listener.run();
  }

  private void notifyClosed() {
    List<Runnable> listeners;
    synchronized (closeListeners) {
      closed = true;
      listeners = List.copyOf(closeListeners);
      closeListeners.clear();
    }
    listeners.forEach(Runnable::run);
  }

  void closeAfterFlush() {
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  void close() {
    channel.close();
  }

  // Returns the listener that accepted this connection.
  Channel serverChannel() {
    return channel.parent();
  }

  private void runNextRequest() {
    if (!channel.isActive()) {
      // Nobody would get the answers.
      queuedRequests.clear();
    }
    Runnable next = queuedRequests.poll();
    if (next == null) {
      requestRunning = false;
    } else {
      next.run();
    }
  }
}
