package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.ReadResult;
import java.util.List;
import java.util.function.Consumer;

/** Events that every owner of a stream's state handles, independent of the stream. */
public sealed interface StreamEvent {

  /**
   * A read of the log succeeded.
   *
   * @param batch the records, possibly none
   * @param requestedAtMs when the read request was sent, on the monotonic clock
   */
  record LogRead(ReadResult.Batch batch, long requestedAtMs) implements StreamEvent {}

  /**
   * A read of the log failed.
   *
   * @param reason why the log could not be read
   */
  record LogUnavailable(String reason) implements StreamEvent {}

  /**
   * A peer sent records.
   *
   * @param records records in offset order
   */
  record PeerRecordsReceived(List<LogRecord> records) implements StreamEvent {}

  /**
   * A snapshot was read from the log or received from a peer.
   *
   * @param offset offset of the first record that the snapshot does not include
   * @param state JSON text of the state
   */
  @SuppressWarnings("ArrayRecordComponent") // instances are not compared
  record SnapshotReceived(long offset, byte[] state) implements StreamEvent {}

  /**
   * A peer requests records.
   *
   * @param from offset of the first requested record
   * @param reply receives the records
   */
  record RecordsRequested(long from, Consumer<List<LogRecord>> reply) implements StreamEvent {}

  /**
   * A peer or the snapshot writer requests the whole state.
   *
   * @param reply receives the offset and the state
   */
  record StateRequested(StateReceiver reply) implements StreamEvent {}

  /** Receives the whole state of a stream. */
  @FunctionalInterface
  interface StateReceiver {
    /**
     * Accepts the state.
     *
     * @param offset offset of the first record that the state does not include
     * @param state JSON text in UTF-8
     */
    void accept(long offset, byte[] state);
  }
}
