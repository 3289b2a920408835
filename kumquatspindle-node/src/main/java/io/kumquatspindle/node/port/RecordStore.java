package io.kumquatspindle.node.port;

import io.kumquatspindle.engine.fleet.GroupGeneration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Client of the platform's store, which holds topics of keyed records, and groups whose members
 * share partitions. All callbacks run on the event loop.
 */
public interface RecordStore {

  /** Topic of records. */
  enum Topic {
    /** The operator's configuration, of which each version is complete. */
    CONFIGURATION(true),
    /** Service discovery entries. */
    ENDPOINTS(false),
    /** Evidence for quarantined parts of prompts, written by the VMs, by crash. */
    CRASHES(false);

    private final boolean newestReplacesOthers;

    Topic(boolean newestReplacesOthers) {
      this.newestReplacesOthers = newestReplacesOthers;
    }

    /**
     * Returns whether the newest record makes all earlier ones obsolete, so that a reader that has
     * fallen behind need not read them.
     *
     * @return whether the newest record suffices
     */
    public boolean newestReplacesOthers() {
      return newestReplacesOthers;
    }
  }

  /**
   * A record with a key.
   *
   * @param key the key
   * @param value the value, or empty if the key was deleted
   */
  record KeyedRecord(String key, Optional<byte[]> value) {}

  /** Result of a read. */
  sealed interface ReadResult {
    /**
     * Records in the order of their offsets.
     *
     * @param records the records
     * @param next offset after the last of these records
     * @param end end offset of the topic when the store answered
     */
    record Records(List<KeyedRecord> records, long next, long end) implements ReadResult {}

    /** The requested offset has been deleted. */
    record Deleted() implements ReadResult {}

    /**
     * The read failed: there was no response, or an error.
     *
     * @param reason description for the log
     */
    record Failed(String reason) implements ReadResult {}
  }

  /**
   * Result of a join.
   *
   * @param generation generation of the group, with the era of the store
   * @param partitions partitions assigned to this member
   */
  record Joined(GroupGeneration generation, Set<Integer> partitions) {}

  /**
   * Reads the latest record of each key.
   *
   * @param topic what to read
   * @param callback receives the records and the offset to continue from, or a failure
   */
  void readLatest(Topic topic, Consumer<ReadResult> callback);

  /**
   * Reads records from an offset on. Waits for one if there is none yet (long poll).
   *
   * @param topic what to read
   * @param from offset of the first record
   * @param waitMs maximum time to wait for a record, in ms
   * @param callback receives the records, possibly none, or a failure
   */
  void read(Topic topic, long from, long waitMs, Consumer<ReadResult> callback);

  /**
   * Appends a record, which replaces the earlier ones with its key.
   *
   * @param topic a topic that the VMs write
   * @param key the key
   * @param value the value
   * @param callback receives whether the store has confirmed it; if not, it may still be done
   */
  void append(Topic topic, String key, byte[] value, Consumer<Boolean> callback);

  /**
   * Joins a group or renews the membership.
   *
   * @param group name of the group
   * @param member encoded identity of this member
   * @param generation generation received last in the current era of the store, or 0 at first
   * @param ttlMs time without a renewal after which the membership expires, in ms
   * @param callback receives the assignment, or empty if there was no response
   */
  void join(
      String group,
      String member,
      long generation,
      long ttlMs,
      Consumer<Optional<Joined>> callback);

  /**
   * Leaves a group. The result is not reported.
   *
   * @param group name of the group
   * @param member encoded identity of this member
   * @param callback called after the response of the store or a timeout
   */
  void leave(String group, String member, Runnable callback);

  /**
   * Fetches the assignment of a group's partitions.
   *
   * @param group name of the group
   * @param callback receives the member of each partition, or empty if there was no response
   */
  void partitionOwners(String group, Consumer<Optional<Map<Integer, String>>> callback);

  /**
   * Returns the number of partitions of each group.
   *
   * @return number of partitions
   */
  int partitionCount();
}
