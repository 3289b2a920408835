package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.ReadResult;
import java.util.List;
import java.util.function.Consumer;

/** Events that the owner of a stream's fold handles, whatever the stream is. */
public sealed interface StreamEvent {

  /**
   * The log was read.
   *
   * @param batch the records, possibly none
   * @param requestedAtMs when the read was sent, on the monotonic clock
   */
  record LogRead(ReadResult.Batch batch, long requestedAtMs) implements StreamEvent {}

  /**
   * The log could not be read.
   *
   * @param reason why
   */
  record LogUnavailable(String reason) implements StreamEvent {}

  /**
   * A peer sent records.
   *
   * @param records records in offset order
   */
  record PeerRecordsReceived(List<LogRecord> records) implements StreamEvent {}

  /**
   * A snapshot was found, in the log or at a peer.
   *
   * @param offset next offset that it has not applied
   * @param state the fold's JSON text
   */
  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  record SnapshotReceived(long offset, byte[] state) implements StreamEvent {}

  /**
   * A peer asks for records.
   *
   * @param from first offset wanted
   * @param reply takes the records
   */
  record RecordsRequested(long from, Consumer<List<LogRecord>> reply) implements StreamEvent {}

  /**
   * A peer, or the snapshot writer, asks for the whole fold.
   *
   * @param reply takes the offset and the state
   */
  record StateRequested(StateReceiver reply) implements StreamEvent {}

  /** Takes the whole fold. */
  @FunctionalInterface
  interface StateReceiver {
    /**
     * Takes the whole fold.
     *
     * @param offset next offset that it has not applied
     * @param state JSON text in UTF-8
     */
    void accept(long offset, byte[] state);
  }
}
