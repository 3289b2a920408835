package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.ModelUse;
import io.kumquatspindle.api.message.EntryMessage.ReplicaUse;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks requests in flight and idle time of each replica, for reports to control. */
public final class ReplicaUsageTracker {
  // Replicas that are idle for longer are omitted from reports, which bounds the size of reports.
  private static final long MAX_IDLE_MS = 3_600_000;

  private record ReplicaId(EndpointName endpoint, ArtifactName artifact) {}

  private static final class Usage {
    int inFlight;
    long lastEndMs;
  }

  private final Map<ReplicaId, Usage> usages = new HashMap<>();

  /**
   * Records the start of a request.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   */
  public synchronized void requestStarted(EndpointName endpoint, ArtifactName artifact) {
    usages.computeIfAbsent(new ReplicaId(endpoint, artifact), id -> new Usage()).inFlight++;
  }

  /**
   * Records the end of a request.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param nowMs current time in milliseconds
   */
  public synchronized void requestEnded(EndpointName endpoint, ArtifactName artifact, long nowMs) {
    Usage use = usages.get(new ReplicaId(endpoint, artifact));
    use.inFlight--;
    use.lastEndMs = nowMs;
  }

  /**
   * Returns the report to control.
   *
   * @param nowMs current time in milliseconds
   * @return usage of each replica
   */
  public synchronized ModelUse report(long nowMs) {
    usages.values().removeIf(u -> u.inFlight == 0 && nowMs - u.lastEndMs > MAX_IDLE_MS);
    List<ReplicaUse> list =
        usages.entrySet().stream().map(e -> toReplicaUse(e.getKey(), e.getValue(), nowMs)).toList();
    return new ModelUse(list);
  }

  private static ReplicaUse toReplicaUse(ReplicaId id, Usage use, long nowMs) {
    long idleMs = use.inFlight > 0 ? 0 : nowMs - use.lastEndMs;
    return new ReplicaUse(id.endpoint(), id.artifact(), use.inFlight, idleMs);
  }
}
