package io.kumquatspindle.node.port;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The platform's store: keyed records that others write, and groups that share partitions. All
 * answers are delivered on the event loop.
 */
public interface RecordStore {

  /** What the followed records are about. */
  enum Topic {
    /** The operator's configuration. */
    CONFIGURATION,
    /** Entries of service discovery. */
    ENDPOINTS
  }

  /**
   * A record with a key.
   *
   * @param key the key
   * @param value the value, or empty if the key was dropped
   */
  record KeyedRecord(String key, Optional<byte[]> value) {}

  /** Answer to a read of records. */
  sealed interface ReadAnswer {
    /**
     * Records in order.
     *
     * @param records the records
     * @param next offset after the last of them
     * @param end offset after the last record that the store had when it answered
     */
    record Records(List<KeyedRecord> records, long next, long end) implements ReadAnswer {}

    /** The records asked for have been deleted. */
    record Forgotten() implements ReadAnswer {}

    /**
     * No answer, or a refusal.
     *
     * @param reason for the log
     */
    record Failed(String reason) implements ReadAnswer {}
  }

  /**
   * Answer to a join.
   *
   * @param generation generation of the group
   * @param partitions partitions that this member holds
   */
  record Joined(long generation, Set<Integer> partitions) {}

  /**
   * Reads the newest record of each key.
   *
   * @param topic what to read
   * @param answer gets the records and the offset to read on from, or a failure
   */
  void newest(Topic topic, Consumer<ReadAnswer> answer);

  /**
   * Reads records as they are written.
   *
   * @param topic what to read
   * @param from offset of the first record
   * @param waitMs longest time to wait for a record, in ms
   * @param answer gets the records, perhaps none
   */
  void read(Topic topic, long from, long waitMs, Consumer<ReadAnswer> answer);

  /**
   * Joins a group, or stays in it.
   *
   * @param group name of the group
   * @param member text form of this member
   * @param generation generation received last; 0 at first
   * @param ttlMs time without a join after which the member is dropped, in ms
   * @param answer gets the answer, or empty if there was none
   */
  void join(
      String group, String member, long generation, long ttlMs, Consumer<Optional<Joined>> answer);

  /**
   * Leaves a group; the answer does not matter.
   *
   * @param group name of the group
   * @param member text form of this member
   * @param done called when the store has answered or not answered in time
   */
  void leave(String group, String member, Runnable done);

  /**
   * Asks who holds the partitions of a group.
   *
   * @param group name of the group
   * @param answer gets members by partition, or empty if there was no answer
   */
  void owners(String group, Consumer<Optional<Map<Integer, String>>> answer);

  /**
   * Returns the number of partitions that a group shares.
   *
   * @return number of partitions
   */
  int partitions();
}
