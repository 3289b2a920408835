package io.kumquatspindle.entry.http;

import io.jooby.Context;
import io.kumquatspindle.transport.callers.CallerAccount;
import io.kumquatspindle.transport.callers.CallerInputGate;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.AttributeKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The Netty channel of a caller's connection. It adds what Jooby does not offer: closing the
 * connection, notification of the caller closing it, and serial processing of requests, since
 * responses to pipelined requests could otherwise be sent in the wrong order.
 */
final class CallerChannel {
  private static final AttributeKey<CallerChannel> CHANNEL_ATTRIBUTE =
      AttributeKey.valueOf(CallerChannel.class, "caller");
  private static final String CONTEXT_ATTRIBUTE = CallerChannel.class.getName();
  private static final int MAX_PIPELINED = 32;

  /** Number of waiting requests beyond which no more are read. */
  private static final int MAX_WAITING = 4;

  /** Time after which the connection of a caller that accepts no data is closed, in seconds. */
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

  // The first call for a request must be made while the event loop reads the data of the request.
  static CallerChannel of(Context context) {
    CallerChannel callerChannel = context.getAttribute(CONTEXT_ATTRIBUTE);
    if (callerChannel == null) {
      callerChannel = current();
      context.setAttribute(CONTEXT_ATTRIBUTE, callerChannel);
    }
    return callerChannel;
  }

  // Returns the connection whose data the calling event loop is reading.
  static CallerChannel current() {
    return of(CurrentChannel.get());
  }

  static CallerChannel of(Channel channel) {
    CallerChannel callerChannel = channel.attr(CHANNEL_ATTRIBUTE).get();
    if (callerChannel == null) {
      callerChannel = new CallerChannel(channel);
      channel.attr(CHANNEL_ATTRIBUTE).set(callerChannel);
    }
    return callerChannel;
  }

  // Runs a request once the earlier ones of the connection have ended. Must be called on the event
  // loop.
  void submit(Runnable request) {
    if (requestRunning && queuedRequests.size() >= MAX_PIPELINED) {
      channel.close();
    } else if (requestRunning) {
      queuedRequests.add(request);
      blockInput();
    } else {
      requestRunning = true;
      request.run();
    }
  }

  /**
   * Charges memory to the request that has been read last.
   *
   * @param bytes the memory
   * @return whether the request may be handled; false if its connection is being closed
   */
  boolean charge(long bytes) {
    Optional<CallerAccount> account = CallerGuard.account(channel);
    account.ifPresent(a -> a.addToRequest(bytes));
    return account.map(a -> !a.closing()).orElse(true);
  }

  /** Returns the body of the request that is being read; empty if it exceeds the limit. */
  Optional<byte[]> takeBody() {
    return RequestHold.takeBody(channel);
  }

  /** Returns whether no request of the connection is being handled or waiting. */
  boolean idle() {
    return !requestRunning;
  }

  private void blockInput() {
    ChannelHandlerContext gate = channel.pipeline().context(CallerInputGate.class);
    if (gate != null) {
      ((CallerInputGate) gate.handler()).setBlocked(gate, queuedRequests.size() >= MAX_WAITING);
    }
  }

  // Runs the next request once the data written so far has been flushed.
  void requestEnded(Runnable onWritten) {
    synchronized (closeListeners) {
      closeListeners.clear();
    }
    ChannelFuture flushed = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
    channel.eventLoop().execute(() -> checkProgress(flushed, -1));
    flushed.addListener(
        f -> {
          onWritten.run();
          CallerGuard.account(channel).ifPresent(CallerAccount::onResponseEnd);
          runNextRequest();
        });
  }

  // Closes the connection if the caller has accepted no data since the last check.
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

  // The listener is removed when the current request ends. A listener on the close future of the
  // channel would instead keep each request in memory for as long as its connection is open.
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

  // Returns the listening channel that accepted this connection.
  Channel serverChannel() {
    return channel.parent();
  }

  private void runNextRequest() {
    if (!channel.isActive()) {
      // The responses could not be delivered.
      queuedRequests.clear();
    }
    Runnable next = queuedRequests.poll();
    blockInput();
    if (next == null) {
      requestRunning = false;
    } else {
      next.run();
    }
  }
}
