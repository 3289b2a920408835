package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.ReadResult;
import java.util.OptionalLong;

/**
 * Handles stream events on the owner's thread and passes records on to a {@link StreamApplier}.
 *
 * <p>Publishes the next offset, whether records are missing and whether the log is reachable; other
 * threads may read these.
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
   * @param applier applies the records and snapshots
   */
  public StreamEventHandler(StreamApplier applier) {
    this.applier = applier;
    this.nextOffset = applier.nextOffset();
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @return whether the state changed
   */
  public boolean handle(StreamEvent event) {
    boolean changed = false;
    if (event instanceof StreamEvent.LogRead read) {
      changed = handleBatch(read.batch());
    } else if (event instanceof StreamEvent.LogUnavailable) {
      logReachable = false;
    } else if (event instanceof StreamEvent.PeerRecordsReceived peer) {
      changed = applier.apply(peer.records()) > 0;
    } else if (event instanceof StreamEvent.SnapshotReceived snapshot) {
      changed = applier.restore(snapshot.offset(), snapshot.state());
    } else if (event instanceof StreamEvent.RecordsRequested request) {
      request.reply().accept(applier.recentRecordsFrom(request.from()));
    } else if (event instanceof StreamEvent.StateRequested request) {
      request.reply().accept(applier.nextOffset(), applier.state());
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
   * Returns the offset of the first record that has not been applied.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns whether the last read of the log succeeded.
   *
   * @return whether the log is reachable
   */
  public boolean logReachable() {
    return logReachable;
  }

  /**
   * Returns whether records are missing that no snapshot covers.
   *
   * @return whether there is a gap
   */
  public boolean hasGap() {
    return hasGap;
  }

  /**
   * Returns when the oldest record that was read since the program started was appended to the log.
   *
   * @return time in milliseconds since the epoch; empty if none was read
   */
  public OptionalLong oldestRecordMs() {
    return oldestRecordMs;
  }
}
