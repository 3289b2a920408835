package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Appends whose records have not been read back yet; at most one for each key. */
final class Appends {
  private final Map<Long, Outstanding> byTag = new HashMap<>();
  private final Map<String, Long> tagByKey = new HashMap<>();
  private final Map<String, Long> notBeforeMs = new HashMap<>();
  private final LoadSettings settings;
  private long lastTag;

  Appends(LoadSettings settings) {
    this.settings = settings;
  }

  /** Appends unless an append of the key is outstanding or has to wait after a rejection. */
  boolean append(String key, DecisionRecord record, long now, List<LoadAction> actions) {
    if (isBlocked(key, now)) {
      return false;
    }
    long tag = ++lastTag;
    byTag.put(tag, new Outstanding(key, record, now, Outstanding.NO_ANSWER));
    tagByKey.put(key, tag);
    actions.add(new LoadAction.AppendDecision(record, tag));
    return true;
  }

  boolean isBlocked(String key, long now) {
    return tagByKey.containsKey(key) || notBeforeMs.getOrDefault(key, Long.MIN_VALUE) > now;
  }

  boolean isOutstanding(String key) {
    return tagByKey.containsKey(key);
  }

  void finished(long tag, AppendResult result, long nextOffset, long now) {
    Outstanding o = byTag.get(tag);
    if (o == null) {
      return;
    }
    if (result instanceof AppendResult.NotAppended) {
      reject(tag, now);
    } else if (result instanceof AppendResult.Appended a) {
      if (a.offset() < nextOffset) {
        remove(tag);
      } else {
        byTag.put(tag, new Outstanding(o.key(), o.record(), now, a.offset()));
      }
    } else {
      byTag.put(tag, new Outstanding(o.key(), o.record(), now, Outstanding.UNKNOWN));
    }
  }

  /** Settles the append whose record was read back. */
  void applied(long offset, DecisionRecord record, boolean accepted, long now) {
    List<Long> settled =
        byTag.entrySet().stream()
            .filter(e -> e.getValue().isAt(offset, record))
            .map(Map.Entry::getKey)
            .toList();
    for (long tag : settled) {
      if (accepted) {
        remove(tag);
      } else {
        reject(tag, now);
      }
    }
  }

  /** Gives up waiting for appends that may never have reached the log. */
  void tick(long nextOffset, long now) {
    List<Long> over =
        byTag.entrySet().stream()
            .filter(e -> e.getValue().isOver(nextOffset, now - settings.unknownAppendMs()))
            .map(Map.Entry::getKey)
            .toList();
    over.forEach(tag -> reject(tag, now));
    notBeforeMs.values().removeIf(ms -> ms <= now);
  }

  /** Returns loads that may reserve memory and permits soon. */
  List<LoadDecided> loads() {
    return byTag.values().stream()
        .map(Outstanding::record)
        .filter(LoadDecided.class::isInstance)
        .map(LoadDecided.class::cast)
        .toList();
  }

  private void reject(long tag, long now) {
    notBeforeMs.put(byTag.get(tag).key(), now + settings.retryMs());
    remove(tag);
  }

  private void remove(long tag) {
    tagByKey.remove(byTag.remove(tag).key());
  }

  private record Outstanding(String key, DecisionRecord record, long sinceMs, long offset) {
    private static final long NO_ANSWER = -1;
    private static final long UNKNOWN = -2;

    boolean isAt(long at, DecisionRecord applied) {
      return offset >= 0 ? offset == at : record.equals(applied);
    }

    boolean isOver(long nextOffset, long limitMs) {
      return offset >= 0 ? offset < nextOffset : offset == UNKNOWN && sinceMs <= limitMs;
    }
  }
}
