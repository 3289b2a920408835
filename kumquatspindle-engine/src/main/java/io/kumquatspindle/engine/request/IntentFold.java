package io.kumquatspindle.engine.request;

import io.kumquatspindle.api.message.EntryMessage.IntentVerdict;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.record.IntentRecord;
import io.kumquatspindle.api.record.IntentRecord.IntentFinished;
import io.kumquatspindle.api.record.IntentRecord.IntentRecorded;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The fold of the {@code intents} stream: which call each idempotency key belongs to, and its
 * outcome. One owner thread.
 *
 * <p>The first record of a key wins by log order. A key whose call certainly did not run is free
 * again, so that the caller may repeat it. Keys expire by log time, which is the same at every VM.
 */
public final class IntentFold {
  private final long windowMs;
  private final Map<Key, Held> held = new HashMap<>();
  private final Deque<Expiry> expiries = new ArrayDeque<>();
  private long nextOffset;

  /**
   * Creates an empty fold.
   *
   * @param windowMs how long a key is remembered, in milliseconds of log time
   */
  public IntentFold(long windowMs) {
    this.windowMs = windowMs;
  }

  /**
   * Returns the next offset that has not been applied.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Skips records that the log no longer keeps.
   *
   * @param offset the oldest offset that it keeps
   */
  public void skipTo(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /**
   * Applies the record at the next offset.
   *
   * @param offset its offset
   * @param logTimeMs when the log took it, in milliseconds since the epoch
   * @param r the record
   */
  public void apply(long offset, long logTimeMs, IntentRecord r) {
    nextOffset = offset + 1;
    expire(logTimeMs);
    applyOne(logTimeMs, r);
  }

  private void applyOne(long logTimeMs, IntentRecord r) {
    if (r instanceof IntentRecord.Group g) {
      g.records().forEach(x -> applyOne(logTimeMs, x));
    } else if (r instanceof IntentRecorded i) {
      recorded(logTimeMs, i);
    } else if (r instanceof IntentFinished f) {
      finished(f);
    }
  }

  private void recorded(long logTimeMs, IntentRecorded i) {
    Key key = new Key(i.customer(), i.key());
    if (held.containsKey(key)) {
      return;
    }
    held.put(key, new Held(i.requestDigest(), i.nonce(), ExecutionStatus.UNKNOWN, 0));
    expiries.addLast(new Expiry(key, i.nonce(), logTimeMs + windowMs));
  }

  private void finished(IntentFinished f) {
    Key key = new Key(f.customer(), f.key());
    Held h = held.get(key);
    if (h == null || !h.nonce.equals(f.nonce())) {
      return;
    }
    if (f.ran() == ExecutionStatus.NOT_RUN) {
      held.remove(key);
    } else {
      held.put(key, new Held(h.requestDigest, h.nonce, f.ran(), f.status()));
    }
  }

  private void expire(long logTimeMs) {
    while (!expiries.isEmpty() && expiries.peekFirst().atMs < logTimeMs) {
      Expiry e = expiries.removeFirst();
      Held h = held.get(e.key);
      if (h != null && h.nonce.equals(e.nonce)) {
        held.remove(e.key);
      }
    }
  }

  /**
   * Tells whether an attempt to record a key has won.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param nonce identifier of the attempt
   * @param requestDigest digest of the attempt's request
   * @return the answer for that attempt; empty if no record of the key is in force
   */
  public Optional<Answer> answer(
      CustomerName customer, String key, String nonce, String requestDigest) {
    Held h = held.get(new Key(customer, key));
    if (h == null) {
      return Optional.empty();
    }
    if (h.nonce.equals(nonce)) {
      return Optional.of(new Answer(IntentVerdict.FIRST, ExecutionStatus.NOT_RUN, 0));
    }
    if (!h.requestDigest.equals(requestDigest)) {
      return Optional.of(new Answer(IntentVerdict.MISMATCH, ExecutionStatus.NOT_RUN, 0));
    }
    return Optional.of(new Answer(IntentVerdict.DUPLICATE, h.ran, h.status));
  }

  /**
   * Returns the number of keys that are remembered.
   *
   * @return how many
   */
  public int size() {
    return held.size();
  }

  /**
   * What an attempt to record a key has led to.
   *
   * @param verdict whether the call may be sent
   * @param ran for a duplicate: whether the earlier call ran
   * @param status for a duplicate: HTTP status of the earlier call, 0 if unknown
   */
  public record Answer(IntentVerdict verdict, ExecutionStatus ran, int status) {}

  private record Key(CustomerName customer, String key) {}

  private record Held(String requestDigest, String nonce, ExecutionStatus ran, int status) {}

  private record Expiry(Key key, String nonce, long atMs) {}
}
