package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.LogRecord;
import java.util.List;
import java.util.OptionalLong;

/**
 * The owner of a stream's state: the only component whose thread changes it. Other threads submit
 * events to the owner's queue and read the values that it has published. No method blocks.
 */
public interface StreamOwner {

  /**
   * Submits an event.
   *
   * @param event the event
   * @return false if the owner's queue is full
   */
  boolean offer(StreamEvent event);

  /**
   * Returns the handler that publishes the progress of the stream.
   *
   * @return the handler
   */
  StreamEventHandler eventHandler();

  /**
   * Returns the offset of the first record that has not been applied, as last published.
   *
   * @return the offset
   */
  default long nextOffset() {
    return eventHandler().nextOffset();
  }

  /**
   * Returns whether the last read of the stream succeeded, as last published.
   *
   * @return whether the log is reachable
   */
  default boolean logReachable() {
    return eventHandler().logReachable();
  }

  /**
   * Returns when the oldest record that was read since the program started was appended to the log.
   *
   * @return time in milliseconds since the epoch; empty if none was read
   */
  default OptionalLong oldestRecordMs() {
    return eventHandler().oldestRecordMs();
  }

  /**
   * Submits records received from a peer. Drops them if the owner's queue is full.
   *
   * @param records records in offset order
   */
  default void offerPeerRecords(List<LogRecord> records) {
    offer(new StreamEvent.PeerRecordsReceived(records));
  }
}
