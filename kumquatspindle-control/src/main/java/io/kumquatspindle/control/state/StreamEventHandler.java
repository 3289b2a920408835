package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.ReadResult;
import java.util.OptionalLong;

/**
 * Handles stream events on the owner's thread by way of a feed.
 *
 * <p>Keeps the published offset and reachability, which other threads read.
 */
public final class StreamEventHandler {
  private final StreamFeed feed;
  private volatile long nextOffset;
  private volatile boolean logReachable;
  private volatile boolean gap;
  private volatile OptionalLong oldestRecordMs = OptionalLong.empty();

  /**
   * Creates a handler.
   *
   * @param feed the feed
   */
  public StreamEventHandler(StreamFeed feed) {
    this.feed = feed;
    this.nextOffset = feed.nextOffset();
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
      changed = logRead(read.batch());
    } else if (event instanceof StreamEvent.LogUnavailable) {
      logReachable = false;
    } else if (event instanceof StreamEvent.PeerRecords peer) {
      changed = feed.offer(peer.records()) > 0;
    } else if (event instanceof StreamEvent.SnapshotFound found) {
      changed = feed.restore(found.offset(), found.state());
    } else if (event instanceof StreamEvent.RecordsWanted wanted) {
      wanted.reply().accept(feed.recentFrom(wanted.from()));
    } else if (event instanceof StreamEvent.StateWanted wanted) {
      wanted.reply().accept(feed.nextOffset(), feed.state());
    }
    nextOffset = feed.nextOffset();
    gap = feed.hasGap();
    return changed;
  }

  private boolean logRead(ReadResult.Batch batch) {
    logReachable = true;
    feed.noteEarliest(batch.earliest());
    int applied = feed.offer(batch.records());
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
  public boolean gap() {
    return gap;
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
