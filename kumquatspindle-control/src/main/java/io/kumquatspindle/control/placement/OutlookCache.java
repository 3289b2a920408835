package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.placement.LoadAction;
import java.util.HashMap;
import java.util.Map;

/**
 * Caches the most recent outlook of each artifact: whether and when it is expected to be ready. Not
 * thread-safe.
 */
final class OutlookCache {
  private static final int MAX_OUTLOOKS = 10_000;

  private final MonotonicClock clock;
  private final Map<ArtifactName, Entry> entries = new HashMap<>();

  OutlookCache(MonotonicClock clock) {
    this.clock = clock;
  }

  void put(LoadAction.SendOutlook o) {
    if (entries.size() >= MAX_OUTLOOKS) {
      entries.clear();
    }
    entries.put(o.artifact(), new Entry(o, clock.nowMs()));
  }

  ModelOutlook get(ArtifactName artifact) {
    Entry e = entries.get(artifact);
    if (e == null) {
      return new ModelOutlook(artifact, EntryMessage.Outlook.QUEUED, 0, "no decision yet");
    }
    LoadAction.SendOutlook o = e.outlook;
    return new ModelOutlook(artifact, o.outlook(), expectedReadyMs(artifact), o.reason());
  }

  /** Returns the expected time until the artifact is ready, in milliseconds; 0 if unknown. */
  long expectedReadyMs(ArtifactName artifact) {
    Entry e = entries.get(artifact);
    if (e == null) {
      return 0;
    }
    return Math.max(0, e.outlook.expectedReadyMs() - (clock.nowMs() - e.storedAtMs));
  }

  private record Entry(LoadAction.SendOutlook outlook, long storedAtMs) {}
}
