package io.kumquatspindle.control.state;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.platform.LogRecord;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Applies the records of a stream to its state machine in offset order. The records may come from
 * the log, from peers or in the form of a snapshot. Not thread-safe.
 *
 * <p>The record at an offset is immutable, so its source does not matter. A snapshot is restored
 * only if it is newer than the state machine, so that the state never reverts.
 */
public final class StreamApplier {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  // Limits of the records kept for peers that request them. A peer that needs older records gets a
  // snapshot.
  private static final int MAX_RECENT_RECORDS = 512;
  private static final long MAX_RECENT_BYTES = 512 * 1024;

  private final StreamStateMachine stateMachine;
  private final Deque<LogRecord> recent = new ArrayDeque<>();
  private long recentBytes;
  private boolean hasGap;

  /**
   * Creates an applier.
   *
   * @param stateMachine the state machine of the stream
   */
  public StreamApplier(StreamStateMachine stateMachine) {
    this.stateMachine = stateMachine;
  }

  /**
   * Returns the offset of the first record that has not been applied.
   *
   * @return the offset
   */
  public long nextOffset() {
    return stateMachine.nextOffset();
  }

  /**
   * Returns whether records between the state and the oldest available record are missing.
   *
   * @return whether a snapshot is needed
   */
  public boolean hasGap() {
    return hasGap;
  }

  /**
   * Applies records in offset order, skips those already applied and stops at a gap.
   *
   * @param records records in offset order
   * @return the number of records applied
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
   * Updates the oldest offset that the log retains.
   *
   * @param earliest the offset
   */
  public void updateEarliestOffset(long earliest) {
    hasGap = earliest > stateMachine.nextOffset();
  }

  /**
   * Restores a snapshot if it is newer than the current state.
   *
   * @param offset offset of the first record that the snapshot does not include
   * @param state JSON text of the state
   * @return whether the snapshot was restored
   */
  public boolean restore(long offset, byte[] state) {
    if (offset <= stateMachine.nextOffset()) {
      return false;
    }
    try {
      stateMachine.restore(offset, state);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log(
          "cannot decode snapshot at offset %d, ignoring it", offset);
      return false;
    }
    recent.clear();
    recentBytes = 0;
    hasGap = false;
    return true;
  }

  /**
   * Returns recent records, starting at an offset.
   *
   * @param from offset of the first requested record
   * @return records in offset order; empty if the first one is no longer kept
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
   * Encodes the whole state.
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
