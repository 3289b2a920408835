package io.kumquatspindle.entry.http;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes of a streamed answer that the caller's connection has not taken yet.
 *
 * <p>A small part is written without waiting for the event loop, since a thread hand-over for each
 * token costs more than the write itself.
 */
final class WriteWindow {
  // Some hundred tokens; a caller that lags further behind slows the relay down.
  static final int MAX_PENDING_BYTES = 64 << 10;

  private final long stallTimeoutNanos;
  private long pendingBytes;
  private long completedWrites;
  private Throwable failure;

  /**
   * Creates an empty window.
   *
   * @param stallTimeoutNanos time after which a connection that takes nothing counts as stalled
   */
  WriteWindow(long stallTimeoutNanos) {
    this.stallTimeoutNanos = stallTimeoutNanos;
  }

  /**
   * Takes room for a part, and waits for it if the window is full.
   *
   * @param bytes size of the part; one that is larger than the window waits for an empty one
   * @return whether there is room; false if the connection took nothing for too long
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
        throw new IOException("interrupted", e);
      }
      if (completedWrites != lastSeenWrites) {
        lastSeenWrites = completedWrites;
        deadline = System.nanoTime() + stallTimeoutNanos;
      }
    }
    if (failure != null) {
      throw new IOException("the caller is gone", failure);
    }
    pendingBytes += bytes;
    return true;
  }

  /**
   * Returns the room of a part.
   *
   * @param bytes size of the part
   * @param cause why the write failed, or null if the connection has taken the part
   */
  synchronized void release(int bytes, Throwable cause) {
    pendingBytes -= bytes;
    completedWrites++;
    failure = failure == null ? cause : failure;
    notifyAll();
  }
}
