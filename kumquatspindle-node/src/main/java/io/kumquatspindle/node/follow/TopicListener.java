package io.kumquatspindle.node.follow;

import io.kumquatspindle.node.port.RecordStore;
import java.util.List;

/** Receives the records that are read. All calls are made on the event loop. */
public interface TopicListener {
  /**
   * Handles a snapshot of the topic.
   *
   * @param records the newest record of each key
   */
  void onSnapshot(List<RecordStore.KeyedRecord> records);

  /**
   * Handles the first snapshot after the store has come back from an older copy. It may lack
   * records that have been handled before, and contain values older than theirs, until their
   * writers have written them again.
   *
   * @param records the newest record of each key that the store has now
   */
  default void onRestoredSnapshot(List<RecordStore.KeyedRecord> records) {
    onSnapshot(records);
  }

  /**
   * Handles a record that was written after the snapshot.
   *
   * @param record the record
   */
  void onRecord(RecordStore.KeyedRecord record);

  /** Handles a response of the store that confirms that the records read so far are complete. */
  void onConfirmed();

  /**
   * Handles the first response of the store after failed reads.
   *
   * @param outageMs time since the first failed read, in ms
   */
  void onRecovered(long outageMs);
}
