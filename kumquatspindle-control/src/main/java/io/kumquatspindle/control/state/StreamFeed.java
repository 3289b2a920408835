package io.kumquatspindle.control.state;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.platform.LogRecord;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Feeds a fold with the records of its stream in offset order, from the log, from peers or from a
 * snapshot. Not safe for use by several threads.
 *
 * <p>The record at an offset never changes, so it does not matter who delivers it. A snapshot is
 * taken only if it is further on than the fold, so nothing reverts.
 */
public final class StreamFeed {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  // Records that peers may ask for; a peer that is further behind gets a snapshot.
  private static final int RECENT_RECORDS = 512;
  private static final long RECENT_BYTES = 512 * 1024;

  private final StreamFold fold;
  private final Deque<LogRecord> recent = new ArrayDeque<>();
  private long recentBytes;
  private boolean gap;

  /**
   * Creates a feed.
   *
   * @param fold the fold
   */
  public StreamFeed(StreamFold fold) {
    this.fold = fold;
  }

  /**
   * Returns the next offset that has not been applied.
   *
   * @return the offset
   */
  public long nextOffset() {
    return fold.nextOffset();
  }

  /**
   * Tells whether records between the fold and the oldest available record are missing.
   *
   * @return whether a snapshot is needed
   */
  public boolean hasGap() {
    return gap;
  }

  /**
   * Applies records that are next; skips those already applied and stops at a gap.
   *
   * @param records records in offset order
   * @return how many were applied
   */
  public int offer(List<LogRecord> records) {
    int applied = 0;
    for (LogRecord r : records) {
      if (r.offset() < fold.nextOffset()) {
        continue;
      }
      gap = r.offset() > fold.nextOffset();
      if (gap) {
        return applied;
      }
      fold.apply(r);
      remember(r);
      applied++;
    }
    return applied;
  }

  /**
   * Notes the oldest offset that the log keeps.
   *
   * @param earliest the offset
   */
  public void noteEarliest(long earliest) {
    gap = earliest > fold.nextOffset();
  }

  /**
   * Takes a snapshot if it is further on than the fold.
   *
   * @param offset next offset that the snapshot has not applied
   * @param state the fold's JSON text
   * @return whether the snapshot was taken
   */
  public boolean restore(long offset, byte[] state) {
    if (offset <= fold.nextOffset()) {
      return false;
    }
    try {
      fold.restore(offset, state);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("snapshot at offset %d cannot be read", offset);
      return false;
    }
    recent.clear();
    recentBytes = 0;
    gap = false;
    return true;
  }

  /**
   * Returns recent records from an offset.
   *
   * @param from first offset wanted
   * @return records in offset order; empty if the first one is no longer held
   */
  public List<LogRecord> recentFrom(long from) {
    if (recent.isEmpty() || recent.peekFirst().offset() > from) {
      return List.of();
    }
    List<LogRecord> result = new ArrayList<>();
    for (LogRecord r : recent) {
      if (r.offset() >= from) {
        result.add(r);
      }
    }
    return result;
  }

  /**
   * Encodes the whole fold.
   *
   * @return JSON text in UTF-8
   */
  public byte[] state() {
    return fold.state();
  }

  private void remember(LogRecord r) {
    recent.addLast(r);
    recentBytes += r.value().length;
    while (recent.size() > RECENT_RECORDS || recentBytes > RECENT_BYTES) {
      recentBytes -= recent.removeFirst().value().length;
    }
  }
}
