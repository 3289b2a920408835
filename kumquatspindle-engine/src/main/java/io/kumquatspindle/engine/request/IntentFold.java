package io.kumquatspindle.engine.request;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.Ran;
import io.kumquatspindle.api.record.IntentRecord;
import io.kumquatspindle.api.record.IntentRecord.Group;
import io.kumquatspindle.api.record.IntentRecord.IntentFinished;
import io.kumquatspindle.api.record.IntentRecord.IntentRecorded;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Folds the {@code intents} stream: the first record of a customer's key wins until the window has
 * passed in log time. Expiry depends on log times only, so all VMs at the same offset agree. One
 * owner thread.
 */
public final class IntentFold {
  private final long windowMs;
  private final int mostIntents;

  /** Oldest first: records are added in log order and log time never goes back here. */
  private final LinkedHashMap<Id, IntentState> intents = new LinkedHashMap<>();

  private long nextOffset;
  private long timeMs;
  private long completeSinceMs = Long.MIN_VALUE;

  /**
   * Returns a fold that has applied nothing.
   *
   * @param nextOffset offset of the first record that it will be given
   * @param windowMs how long a key is remembered, in ms of log time, at least 1
   * @param mostIntents most keys held at once, at least 1, which bounds the memory
   */
  public IntentFold(long nextOffset, long windowMs, int mostIntents) {
    if (windowMs < 1 || mostIntents < 1) {
      throw new IllegalArgumentException(
          "need windowMs >= 1 and mostIntents >= 1 but were " + windowMs + ", " + mostIntents);
    }
    this.nextOffset = nextOffset;
    this.windowMs = windowMs;
    this.mostIntents = mostIntents;
  }

  /**
   * Applies the next record of the stream. A record at an offset that was applied before is
   * ignored.
   *
   * @param offset the record's offset
   * @param logTimeMs when the log took the record, in milliseconds since the epoch
   * @param record the record
   */
  public void apply(long offset, long logTimeMs, IntentRecord record) {
    if (offset < nextOffset) {
      return;
    }
    nextOffset = offset + 1;
    timeMs = Math.max(timeMs, logTimeMs);
    expire();
    if (record instanceof Group g) {
      g.records().forEach(this::applyOne);
    } else {
      applyOne(record);
    }
  }

  private void applyOne(IntentRecord record) {
    if (record instanceof IntentRecorded r) {
      recorded(r);
    } else if (record instanceof IntentFinished r) {
      finished(r);
    }
  }

  private void recorded(IntentRecorded r) {
    IntentState state =
        new IntentState(
            r.customer(), r.key(), r.requestDigest(), r.nonce(), timeMs, Ran.UNKNOWN, 0);
    intents.putIfAbsent(new Id(r.customer(), r.key()), state);
    if (intents.size() > mostIntents) {
      Iterator<IntentState> oldest = intents.values().iterator();
      completeSinceMs = Math.max(completeSinceMs, oldest.next().timeMs() + 1);
      oldest.remove();
    }
  }

  /** The first outcome that is certain stands; a later one cannot change it. */
  private void finished(IntentFinished r) {
    intents.computeIfPresent(
        new Id(r.customer(), r.key()),
        (id, state) ->
            state.isWonBy(r.nonce()) && state.ran() == Ran.UNKNOWN
                ? state.finished(r.ran(), r.status())
                : state);
  }

  private void expire() {
    Iterator<Map.Entry<Id, IntentState>> i = intents.entrySet().iterator();
    while (i.hasNext() && i.next().getValue().timeMs() <= timeMs - windowMs) {
      i.remove();
    }
  }

  /**
   * Returns what is known of a key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @return the winning record and its outcome, or empty if the key was not recorded in the window
   */
  public Optional<IntentState> find(CustomerName customer, String key) {
    return Optional.ofNullable(intents.get(new Id(customer, key)));
  }

  /**
   * Tells whether keys were dropped before their window had passed, since there were too many. A
   * call with a key must then be refused as not run, because a repeated key might not be
   * recognised.
   *
   * @return whether the fold no longer covers the whole window
   */
  public boolean isOverflowing() {
    return completeSinceMs > timeMs - windowMs;
  }

  /**
   * Returns the offset of the next record to apply.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the number of keys held.
   *
   * @return the number
   */
  public int size() {
    return intents.size();
  }

  private record Id(CustomerName customer, String key) {}
}
