package io.kumquatspindle.node.follow;

import io.kumquatspindle.node.port.RecordStore;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Fake store with one topic whose appends do not complete pending reads, as happens with the
 * platform's store when an append and a read arrive at the same time: such a read gets the record
 * only when its wait ends.
 */
final class FakeTopicStore implements RecordStore {
  private final EventLoop loop;
  private final List<KeyedRecord> records;
  private final List<Long> waits = new ArrayList<>();
  private int deletedBefore;
  private int newestReads;
  private int recordsRead;
  private boolean unresponsive;
  private boolean failing;
  private Runnable beforeResponse = () -> {};

  FakeTopicStore(EventLoop loop) {
    this(loop, new ArrayList<>());
  }

  /** Creates a view of the store for one VM, with records that several VMs share. */
  FakeTopicStore(EventLoop loop, List<KeyedRecord> records) {
    this.loop = loop;
    this.records = records;
  }

  /** Returns the records in order. */
  List<KeyedRecord> records() {
    return List.copyOf(records);
  }

  @Override
  public void append(Topic topic, String key, byte[] value, Consumer<Boolean> callback) {
    if (!failing) {
      records.add(new KeyedRecord(key, Optional.of(value)));
    }
    loop.execute(() -> callback.accept(!failing));
  }

  void append(String value) {
    records.add(new KeyedRecord("k", Optional.of(value.getBytes(StandardCharsets.UTF_8))));
  }

  /** Loses the newest records, as when the store comes back from an older copy. */
  void loseNewest(int count) {
    records.subList(records.size() - count, records.size()).clear();
  }

  /** Deletes all records, except the newest of each key for reads of these. */
  void deleteHistory() {
    deletedBefore = records.size();
  }

  /** Appends a record with a key; without a value it deletes the key. */
  void append(String key, Optional<byte[]> value) {
    records.add(new KeyedRecord(key, value));
  }

  /** Sets what happens before each response is handled, as when it names a new era. */
  void beforeResponse(Runnable action) {
    beforeResponse = action;
  }

  /** Stops answering reads. */
  void stopAnswering() {
    unresponsive = true;
  }

  /** Sets whether reads fail at once. */
  void setFailing(boolean fail) {
    failing = fail;
  }

  /** Returns the number of reads of the newest records. */
  int newestReads() {
    return newestReads;
  }

  /** Returns the number of records that were sent. */
  int recordsRead() {
    return recordsRead;
  }

  /** Returns the wait time of each read, in order. */
  List<Long> waits() {
    return List.copyOf(waits);
  }

  @Override
  public void readLatest(Topic topic, Consumer<ReadResult> callback) {
    newestReads++;
    loop.execute(
        () -> {
          Map<String, KeyedRecord> newest = new LinkedHashMap<>();
          records.forEach(r -> newest.put(r.key(), r));
          newest.values().removeIf(r -> r.value().isEmpty());
          respond(callback, List.copyOf(newest.values()));
        });
  }

  @Override
  public void read(Topic topic, long from, long waitMs, Consumer<ReadResult> callback) {
    waits.add(waitMs);
    if (!failing && (from < deletedBefore || from > records.size())) {
      loop.execute(
          () -> {
            beforeResponse.run();
            callback.accept(new ReadResult.Deleted());
          });
    } else if (records.size() > from || waitMs == 0 || failing) {
      loop.execute(() -> respond(callback, from(from)));
    } else {
      loop.schedule(() -> respond(callback, from(from)), waitMs, TimeUnit.MILLISECONDS);
    }
  }

  private List<KeyedRecord> from(long offset) {
    int end = records.size();
    return List.copyOf(records.subList(Math.min((int) offset, end), end));
  }

  private void respond(Consumer<ReadResult> callback, List<KeyedRecord> rest) {
    if (failing) {
      callback.accept(new ReadResult.Failed("turned away"));
    } else if (!unresponsive) {
      beforeResponse.run();
      recordsRead += rest.size();
      callback.accept(new ReadResult.Records(rest, records.size(), records.size()));
    }
  }

  @Override
  public void join(
      String group,
      String member,
      long generation,
      long ttlMs,
      Consumer<Optional<Joined>> callback) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void leave(String group, String member, Runnable done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void partitionOwners(String group, Consumer<Optional<Map<Integer, String>>> callback) {
    throw new UnsupportedOperationException();
  }

  @Override
  public int partitionCount() {
    throw new UnsupportedOperationException();
  }
}
