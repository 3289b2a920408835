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
public final class StreamApplier {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  // Records that peers may ask for; a peer that is further behind gets a snapshot.
  private static final int MAX_RECENT_RECORDS = 512;
  private static final long MAX_RECENT_BYTES = 512 * 1024;

  private final StreamStateMachine stateMachine;
  private final Deque<LogRecord> recent = new ArrayDeque<>();
  private long recentBytes;
  private boolean hasGap;

  /**
   * Creates a feed.
   *
   * @param stateMachine the fold
   */
  public StreamApplier(StreamStateMachine stateMachine) {
    this.stateMachine = stateMachine;
  }

  /**
   * Returns the next offset that has not been applied.
   *
   * @return the offset
   */
  public long nextOffset() {
    return stateMachine.nextOffset();
  }

  /**
   * Tells whether records between the fold and the oldest available record are missing.
   *
   * @return whether a snapshot is needed
   */
  public boolean hasGap() {
    return hasGap;
  }

  /**
   * Applies records that are next; skips those already applied and stops at a gap.
   *
   * @param records records in offset order
   * @return how many were applied
   */
  public int apply(List<LogRecord> records) {
    int applied = 0;
    for (LogRecord r : records) {
      if (r.offset() < stateMachine.nextOffset()) {
        continue;
      }
      hasGap = r.offset() > stateMachine.nextOffset();
      if (hasGap) {
        return applied;
      }
      stateMachine.apply(r);
      addToRecent(r);
      applied++;
    }
    return applied;
  }

  /**
   * Notes the oldest offset that the log keeps.
   *
   * @param earliest the offset
   */
  public void updateEarliestOffset(long earliest) {
    hasGap = earliest > stateMachine.nextOffset();
  }

  /**
   * Takes a snapshot if it is further on than the fold.
   *
   * @param offset next offset that the snapshot has not applied
   * @param state the fold's JSON text
   * @return whether the snapshot was taken
   */
  public boolean restore(long offset, byte[] state) {
    if (offset <= stateMachine.nextOffset()) {
      return false;
    }
    try {
      stateMachine.restore(offset, state);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("snapshot at offset %d cannot be read", offset);
      return false;
    }
    recent.clear();
    recentBytes = 0;
    hasGap = false;
    return true;
  }

  /**
   * Returns recent records from an offset.
   *
   * @param from first offset wanted
   * @return records in offset order; empty if the first one is no longer held
   */
  public List<LogRecord> recentRecordsFrom(long from) {
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
    return stateMachine.state();
  }

  private void addToRecent(LogRecord r) {
    recent.addLast(r);
    recentBytes += r.value().length;
    while (recent.size() > MAX_RECENT_RECORDS || recentBytes > MAX_RECENT_BYTES) {
      recentBytes -= recent.removeFirst().value().length;
    }
  }
}
