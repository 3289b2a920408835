package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.LogRecord;
import java.util.List;
import java.util.OptionalLong;

/**
 * The owner of a stream's fold, as other threads see it. All methods hand an event to the owner's
 * ring and return at once.
 */
public interface StreamOwner {

  /**
   * Hands over an event.
   *
   * @param event the event
   * @return false if the owner's ring is full
   */
  boolean offer(StreamEvent event);

  /**
   * Returns how far the fold is, as last published.
   *
   * @return the handler that publishes it
   */
  StreamEventHandler eventHandler();

  /**
   * Returns the next offset that the fold has not applied, as last published.
   *
   * @return the offset
   */
  default long nextOffset() {
    return eventHandler().nextOffset();
  }

  /**
   * Tells whether the last read of the stream succeeded, as last published.
   *
   * @return whether it did
   */
  default boolean logReachable() {
    return eventHandler().logReachable();
  }

  /**
   * Returns when the log took the oldest record that was read since the program started.
   *
   * @return time in milliseconds since the epoch; empty if none was read
   */
  default OptionalLong oldestRecordMs() {
    return eventHandler().oldestRecordMs();
  }

  /**
   * Hands over records from a peer.
   *
   * @param records records in offset order
   */
  default void offerPeerRecords(List<LogRecord> records) {
    offer(new StreamEvent.PeerRecordsReceived(records));
  }
}
