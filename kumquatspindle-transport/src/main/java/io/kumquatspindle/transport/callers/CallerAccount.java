package io.kumquatspindle.transport.callers;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.request.MemoryAccount;
import io.kumquatspindle.engine.request.MemoryAccount.State;
import io.kumquatspindle.transport.callers.ConnectionClosings.Reason;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayDeque;

/** What one caller's connection holds: bytes not decoded yet, requests, and unread responses. */
public final class CallerAccount {
  /**
   * Memory of a request besides headers and body (message, exchange, log), in bytes; rounded up.
   */
  private static final long REQUEST_BYTES = 2_048;

  /** Bytes of a body after which a caller counts as making progress. */
  private static final long PROGRESS_BYTES = 65_536;

  private final CallerMemory memory;
  private final Channel channel;
  private final MonotonicClock clock;
  private final ArrayDeque<long[]> requests = new ArrayDeque<>();
  private MemoryAccount<CallerAccount>.Holder holder;
  private long undecodedBytes;
  private long pausedBytes;
  private long unreadBytes;
  private long requestBytes;
  private long progressBytes;
  private boolean receiving;
  private int unanswered;
  private Object unreadMessage;
  private long unreadProgress;
  private long unreadSinceMs;
  private long unreadLimitMs = Long.MAX_VALUE;

  CallerAccount(CallerMemory memory, Channel channel, MonotonicClock clock) {
    this.memory = memory;
    this.channel = channel;
    this.clock = clock;
  }

  void setHolder(MemoryAccount<CallerAccount>.Holder h) {
    holder = h;
  }

  /**
   * Sets the time after which a response of which nothing is read ends the connection.
   *
   * @param ms the time in ms
   */
  public void setUnreadLimitMs(long ms) {
    unreadLimitMs = ms;
  }

  CallerMemory memory() {
    return memory;
  }

  /**
   * Returns whether the connection is being closed, so that nothing more is done for its caller.
   *
   * @return whether it is being closed
   */
  public boolean closing() {
    return holder.closing();
  }

  /** Records bytes that are passed to the decoder. */
  void onBytes(int count) {
    undecodedBytes += count;
    update();
  }

  /** Returns the bytes that the decoder was given since it last produced something. */
  long undecodedBytes() {
    return undecodedBytes;
  }

  /** Records that the decoder has produced something; it keeps at most a part of a slice then. */
  void onDecoded() {
    undecodedBytes = Math.min(undecodedBytes, CallerInputGate.SLICE_BYTES);
  }

  /** Sets the number of bytes that wait to be passed to the decoder. */
  void setPausedBytes(long bytes) {
    pausedBytes = bytes;
    update();
  }

  /** Records that the first bytes of a request have arrived. */
  void onRequestBegun() {
    receiving = true;
    update();
  }

  /** Opens the account of a request whose first line has been decoded. */
  public void onRequestLine() {
    requests.addLast(new long[1]);
    receiving = true;
    addToRequest(REQUEST_BYTES);
  }

  /**
   * Adds memory to the request that is being received.
   *
   * @param bytes the memory
   */
  public void addToRequest(long bytes) {
    if (!requests.isEmpty()) {
      requests.peekLast()[0] += bytes;
      requestBytes += bytes;
      update();
    }
  }

  /** Records bytes of a body. */
  void onBodyBytes(int count) {
    progressBytes += count;
    if (progressBytes >= PROGRESS_BYTES) {
      progressBytes = 0;
      holder.recordProgress(clock.nowMs());
    }
  }

  /** Records that a request has been received completely. */
  void onRequestComplete() {
    receiving = false;
    unanswered++;
    undecodedBytes = 0;
    progressBytes = 0;
    update();
  }

  /** Records that the response to the first request has ended; releases the request. */
  public void onResponseEnd() {
    unanswered = Math.max(0, unanswered - 1);
    long[] first = requests.pollFirst();
    requestBytes -= first == null ? 0 : first[0];
    updateUnread();
    update();
    memory.onChanged();
  }

  /** Reads from the channel how much of the responses has not been sent yet. */
  void updateUnread() {
    ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
    long bytes = pending == null ? 0 : pending.totalPendingWriteBytes();
    if (bytes == unreadBytes && bytes == 0) {
      return;
    }
    Object message = pending == null ? null : pending.current();
    long progress = pending == null ? 0 : pending.currentProgress();
    if (unreadBytes == 0 || message != unreadMessage || progress != unreadProgress) {
      unreadSinceMs = clock.nowMs();
      holder.recordProgress(unreadSinceMs);
    }
    unreadMessage = message;
    unreadProgress = progress;
    unreadBytes = bytes;
    resize();
  }

  /** Records that bytes of a response have been written to the connection. */
  void onWritten() {
    updateUnread();
    memory.setUnread(this, unreadBytes > 0);
    update();
  }

  /** Closes the connection if the caller has read nothing for too long. */
  void checkUnread() {
    updateUnread();
    if (unreadBytes == 0) {
      memory.setUnread(this, false);
    } else if (clock.nowMs() - unreadSinceMs >= unreadLimitMs) {
      close(Reason.UNREAD);
    }
  }

  private State state() {
    if (unreadBytes > 0) {
      return State.SENDING;
    }
    if (unanswered > 0) {
      return State.HANDLED;
    }
    return receiving ? State.RECEIVING : State.IDLE;
  }

  private void resize() {
    holder.setState(state(), clock.nowMs());
    holder.resize(undecodedBytes + pausedBytes + requestBytes + unreadBytes);
  }

  private void update() {
    resize();
    if (memory.full()) {
      memory.onChanged();
    }
  }

  /** Closes the connection. What it holds is counted until it has been released. */
  void close(Reason reason) {
    if (!holder.closing()) {
      holder.markClosing();
      memory.closings().record(reason, holder.bytes());
      channel.close();
    }
  }

  /** Ends the account after everything has been released. */
  void release() {
    memory.setUnread(this, false);
    holder.release();
    unreadMessage = null;
    memory.onChanged();
  }
}
