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
 * Computes the call and the outcome of each idempotency key from the {@code intents} stream. Not
 * thread-safe.
 *
 * <p>The first record of a key in log order wins. A key is released if its call certainly did not
 * run, so that the caller may repeat it. Keys expire by log time, which is the same at every VM.
 */
public final class IntentStateMachine {
  private final long windowMs;
  private final Map<Key, Intent> intents = new HashMap<>();
  private final Deque<Expiry> expiries = new ArrayDeque<>();
  private long nextOffset;

  /**
   * Creates an empty state machine.
   *
   * @param windowMs retention time of a key, in milliseconds of log time
   */
  public IntentStateMachine(long windowMs) {
    this.windowMs = windowMs;
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
   * Skips records that the log no longer retains.
   *
   * @param offset the oldest retained offset
   */
  public void skipTo(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /**
   * Applies the record at the next offset.
   *
   * @param offset its offset
   * @param logTimeMs when the log accepted it, in milliseconds since the epoch
   * @param record the record
   */
  public void apply(long offset, long logTimeMs, IntentRecord record) {
    nextOffset = offset + 1;
    expire(logTimeMs);
    applyRecord(logTimeMs, record);
  }

  private void applyRecord(long logTimeMs, IntentRecord record) {
    if (record instanceof IntentRecord.Group g) {
      g.records().forEach(x -> applyRecord(logTimeMs, x));
    } else if (record instanceof IntentRecorded i) {
      applyRecorded(logTimeMs, i);
    } else if (record instanceof IntentFinished f) {
      applyFinished(f);
    }
  }

  private void applyRecorded(long logTimeMs, IntentRecorded record) {
    Key key = new Key(record.customer(), record.key());
    if (intents.containsKey(key)) {
      return;
    }
    intents.put(
        key, new Intent(record.requestDigest(), record.nonce(), ExecutionStatus.UNKNOWN, 0));
    expiries.addLast(new Expiry(key, record.nonce(), logTimeMs + windowMs));
  }

  private void applyFinished(IntentFinished record) {
    Key key = new Key(record.customer(), record.key());
    Intent intent = intents.get(key);
    if (intent == null || !intent.nonce.equals(record.nonce())) {
      return;
    }
    if (record.ran() == ExecutionStatus.NOT_RUN) {
      intents.remove(key);
    } else {
      intents.put(
          key, new Intent(intent.requestDigest, intent.nonce, record.ran(), record.status()));
    }
  }

  private void expire(long logTimeMs) {
    while (!expiries.isEmpty() && expiries.peekFirst().atMs < logTimeMs) {
      Expiry expiry = expiries.removeFirst();
      Intent intent = intents.get(expiry.key);
      if (intent != null && intent.nonce.equals(expiry.nonce)) {
        intents.remove(expiry.key);
      }
    }
  }

  /**
   * Returns the result of an attempt to record a key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param nonce identifier of the attempt
   * @param requestDigest digest of the attempt's request
   * @return the result; empty if the key is not recorded, was released or has expired
   */
  public Optional<AttemptResult> attemptResult(
      CustomerName customer, String key, String nonce, String requestDigest) {
    Intent intent = intents.get(new Key(customer, key));
    if (intent == null) {
      return Optional.empty();
    }
    if (intent.nonce.equals(nonce)) {
      return Optional.of(new AttemptResult(IntentVerdict.FIRST, ExecutionStatus.NOT_RUN, 0));
    }
    if (!intent.requestDigest.equals(requestDigest)) {
      return Optional.of(new AttemptResult(IntentVerdict.MISMATCH, ExecutionStatus.NOT_RUN, 0));
    }
    return Optional.of(new AttemptResult(IntentVerdict.DUPLICATE, intent.ran, intent.status));
  }

  /**
   * Returns the number of retained keys.
   *
   * @return the number
   */
  public int size() {
    return intents.size();
  }

  /**
   * Result of an attempt to record a key.
   *
   * @param verdict whether the call may be sent
   * @param ran for a duplicate: whether the earlier call ran
   * @param status for a duplicate: HTTP status of the earlier call, 0 if unknown
   */
  public record AttemptResult(IntentVerdict verdict, ExecutionStatus ran, int status) {}

  private record Key(CustomerName customer, String key) {}

  private record Intent(String requestDigest, String nonce, ExecutionStatus ran, int status) {}

  private record Expiry(Key key, String nonce, long atMs) {}
}
