package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.platform.LogRecord;
import java.util.ArrayList;
import java.util.List;

/** One in-memory stream of the simulated log. */
final class LogStream {
  private final long retentionMs;
  private final List<LogRecord> records = new ArrayList<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private long end;
  private long lastTimeMs;

  LogStream(long retentionMs) {
    this.retentionMs = retentionMs;
  }

  /** Appends a record, notifies waiting readers and returns the record's offset. */
  long append(byte[] value, long nowMs) {
    List<Runnable> woken;
    long offset;
    synchronized (this) {
      // Keeps record times monotonic when the system clock is set back.
      lastTimeMs = Math.max(lastTimeMs, nowMs);
      offset = end++;
      records.add(new LogRecord(offset, lastTimeMs, value));
      woken = new ArrayList<>(waiters);
      waiters.clear();
    }
    woken.forEach(Runnable::run);
    return offset;
  }

  synchronized LogBatch read(long from, int max, long nowMs) {
    dropExpired(nowMs);
    int first = (int) Math.min(records.size(), Math.max(0, from - earliest()));
    int last = Math.min(records.size(), first + max);
    return new LogBatch(earliest(), end, LogBatch.entries(records.subList(first, last)));
  }

  /**
   * Registers a listener for the next append, unless there is a record at the offset already.
   * Returns whether the listener was registered.
   */
  synchronized boolean awaitAppend(long from, Runnable listener) {
    if (from < end) {
      return false;
    }
    waiters.add(listener);
    return true;
  }

  synchronized void cancel(Runnable listener) {
    waiters.remove(listener);
  }

  private long earliest() {
    return end - records.size();
  }

  private void dropExpired(long nowMs) {
    int n = 0;
    while (n < records.size() && records.get(n).timeMs() < nowMs - retentionMs) {
      n++;
    }
    records.subList(0, n).clear();
  }
}
