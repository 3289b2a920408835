package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.ReadResult;
import java.util.OptionalLong;

/**
 * Handles stream events on the owner's thread by way of a feed.
 *
 * <p>Keeps the published offset and reachability, which other threads read.
 */
public final class StreamEventHandler {
  private final StreamApplier applier;
  private volatile long nextOffset;
  private volatile boolean logReachable;
  private volatile boolean hasGap;
  private volatile OptionalLong oldestRecordMs = OptionalLong.empty();

  /**
   * Creates a handler.
   *
   * @param applier the feed
   */
  public StreamEventHandler(StreamApplier applier) {
    this.applier = applier;
    this.nextOffset = applier.nextOffset();
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @return whether the fold changed
   */
  public boolean handle(StreamEvent event) {
    boolean changed = false;
    if (event instanceof StreamEvent.LogRead read) {
      changed = handleBatch(read.batch());
    } else if (event instanceof StreamEvent.LogUnavailable) {
      logReachable = false;
    } else if (event instanceof StreamEvent.PeerRecordsReceived peer) {
      changed = applier.apply(peer.records()) > 0;
    } else if (event instanceof StreamEvent.SnapshotReceived found) {
      changed = applier.restore(found.offset(), found.state());
    } else if (event instanceof StreamEvent.RecordsRequested wanted) {
      wanted.reply().accept(applier.recentRecordsFrom(wanted.from()));
    } else if (event instanceof StreamEvent.StateRequested wanted) {
      wanted.reply().accept(applier.nextOffset(), applier.state());
    }
    nextOffset = applier.nextOffset();
    hasGap = applier.hasGap();
    return changed;
  }

  private boolean handleBatch(ReadResult.Batch batch) {
    logReachable = true;
    applier.updateEarliestOffset(batch.earliest());
    int applied = applier.apply(batch.records());
    if (oldestRecordMs.isEmpty() && !batch.records().isEmpty()) {
      oldestRecordMs = OptionalLong.of(batch.records().get(0).timeMs());
    }
    return applied > 0;
  }

  /**
   * Returns the next offset that the fold has not applied.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Tells whether the last read of the log succeeded.
   *
   * @return whether it did
   */
  public boolean logReachable() {
    return logReachable;
  }

  /**
   * Tells whether records are missing and no snapshot covers them.
   *
   * @return whether there is a gap
   */
  public boolean hasGap() {
    return hasGap;
  }

  /**
   * Returns when the log took the oldest record that was read since the program started.
   *
   * @return time in milliseconds since the epoch; empty if none was read
   */
  public OptionalLong oldestRecordMs() {
    return oldestRecordMs;
  }
}
