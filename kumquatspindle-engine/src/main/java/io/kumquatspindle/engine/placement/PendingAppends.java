package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Appends to the decision log whose records have not been read back yet, at most one per key.
 * Prevents duplicate decisions about the same replica or artifact.
 */
final class PendingAppends {
  private final Map<Long, PendingAppend> byAppendId = new HashMap<>();
  private final Map<String, Long> appendIdByKey = new HashMap<>();
  private final Map<String, Long> retryAfterMs = new HashMap<>();
  private final LoadSettings settings;
  private long lastAppendId;

  PendingAppends(LoadSettings settings) {
    this.settings = settings;
  }

  /**
   * Appends a record unless an append for the key is pending or backs off after a rejection.
   *
   * @return whether the append was started
   */
  boolean tryAppend(String key, DecisionRecord record, long now, List<LoadAction> actions) {
    if (isBlocked(key, now)) {
      return false;
    }
    long appendId = ++lastAppendId;
    byAppendId.put(appendId, new PendingAppend(key, record, now, PendingAppend.AWAITING_RESULT));
    appendIdByKey.put(key, appendId);
    actions.add(new LoadAction.AppendDecision(record, appendId));
    return true;
  }

  boolean isBlocked(String key, long now) {
    return appendIdByKey.containsKey(key) || retryAfterMs.getOrDefault(key, Long.MIN_VALUE) > now;
  }

  boolean isPending(String key) {
    return appendIdByKey.containsKey(key);
  }

  void appendFinished(long appendId, AppendResult result, long nextOffset, long now) {
    PendingAppend append = byAppendId.get(appendId);
    if (append == null) {
      return;
    }
    if (result instanceof AppendResult.NotAppended) {
      backOff(appendId, now);
    } else if (result instanceof AppendResult.Appended a) {
      if (a.offset() < nextOffset) {
        remove(appendId);
      } else {
        byAppendId.put(appendId, new PendingAppend(append.key(), append.record(), now, a.offset()));
      }
    } else {
      byAppendId.put(
          appendId,
          new PendingAppend(append.key(), append.record(), now, PendingAppend.RESULT_UNKNOWN));
    }
  }

  /**
   * Completes the append whose record was read back; backs off if the state machine ignored the
   * record.
   */
  void recordApplied(long offset, DecisionRecord record, boolean accepted, long now) {
    List<Long> settled =
        byAppendId.entrySet().stream()
            .filter(e -> e.getValue().matches(offset, record))
            .map(Map.Entry::getKey)
            .toList();
    for (long appendId : settled) {
      if (accepted) {
        remove(appendId);
      } else {
        backOff(appendId, now);
      }
    }
  }

  /** Drops appends of unknown outcome whose records have not appeared in the log in time. */
  void expire(long nextOffset, long now) {
    List<Long> expired =
        byAppendId.entrySet().stream()
            .filter(
                e -> e.getValue().isExpired(nextOffset, now - settings.unknownAppendTimeoutMs()))
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(appendId -> backOff(appendId, now));
    retryAfterMs.values().removeIf(ms -> ms <= now);
  }

  /** Returns pending load decisions, which may reserve memory and load permits once applied. */
  List<LoadDecided> pendingLoads() {
    return byAppendId.values().stream()
        .map(PendingAppend::record)
        .filter(LoadDecided.class::isInstance)
        .map(LoadDecided.class::cast)
        .toList();
  }

  private void backOff(long appendId, long now) {
    retryAfterMs.put(byAppendId.get(appendId).key(), now + settings.retryMs());
    remove(appendId);
  }

  private void remove(long appendId) {
    appendIdByKey.remove(byAppendId.remove(appendId).key());
  }

  private record PendingAppend(String key, DecisionRecord record, long sinceMs, long offset) {
    private static final long AWAITING_RESULT = -1;
    private static final long RESULT_UNKNOWN = -2;

    boolean matches(long recordOffset, DecisionRecord appliedRecord) {
      return offset >= 0 ? offset == recordOffset : record.equals(appliedRecord);
    }

    boolean isExpired(long nextOffset, long expiryMs) {
      return offset >= 0 ? offset < nextOffset : offset == RESULT_UNKNOWN && sinceMs <= expiryMs;
    }
  }
}
