package io.kumquatspindle.entry.http;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes of a streamed response that have not been written to the caller's connection
 * yet.
 *
 * <p>As long as the window has room, a part is written without waiting for the event loop, since a
 * thread switch for each token costs more than the write itself.
 */
final class WriteWindow {
  // A few hundred tokens; a caller that lags further behind slows down the relay.
  static final int MAX_PENDING_BYTES = 64 << 10;

  private final long stallTimeoutNanos;
  private long pendingBytes;
  private long completedWrites;
  private Throwable failure;

  /**
   * Creates an empty window.
   *
   * @param stallTimeoutNanos time without a completed write after which a connection counts as
   *     stalled
   */
  WriteWindow(long stallTimeoutNanos) {
    this.stallTimeoutNanos = stallTimeoutNanos;
  }

  /**
   * Reserves room for a part, and blocks while the window is full.
   *
   * @param bytes size of the part; a part larger than the window waits until the window is empty
   * @return whether the room was reserved; false if the connection stalled
   * @throws IOException if an earlier write failed
   */
  synchronized boolean reserve(int bytes) throws IOException {
    long lastSeenWrites = completedWrites;
    long deadline = System.nanoTime() + stallTimeoutNanos;
    while (failure == null && pendingBytes > 0 && pendingBytes + bytes > MAX_PENDING_BYTES) {
      long left = deadline - System.nanoTime();
      if (left <= 0) {
        return false;
      }
      try {
        TimeUnit.NANOSECONDS.timedWait(this, left);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while waiting for the caller to accept data", e);
      }
      if (completedWrites != lastSeenWrites) {
        lastSeenWrites = completedWrites;
        deadline = System.nanoTime() + stallTimeoutNanos;
      }
    }
    if (failure != null) {
      throw new IOException("write to the caller failed", failure);
    }
    pendingBytes += bytes;
    return true;
  }

  /**
   * Releases the room of a part after its write has ended.
   *
   * @param bytes size of the part
   * @param cause why the write failed, or null if it succeeded
   */
  synchronized void release(int bytes, Throwable cause) {
    pendingBytes -= bytes;
    completedWrites++;
    failure = failure == null ? cause : failure;
    notifyAll();
  }
}
