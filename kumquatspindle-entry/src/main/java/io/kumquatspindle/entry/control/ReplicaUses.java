package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.ModelUse;
import io.kumquatspindle.api.message.EntryMessage.ReplicaUse;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts the requests in flight on each replica, for reports to control. */
public final class ReplicaUses {
  // A replica idle for longer is left out of reports, which bounds their size.
  private static final long FORGET_AFTER_MS = 3_600_000;

  private record Id(EndpointName endpoint, ArtifactName artifact) {}

  private static final class Use {
    int inFlight;
    long lastEndMs;
  }

  private final Map<Id, Use> uses = new HashMap<>();

  /**
   * Counts a request that starts.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   */
  public synchronized void started(EndpointName endpoint, ArtifactName artifact) {
    uses.computeIfAbsent(new Id(endpoint, artifact), id -> new Use()).inFlight++;
  }

  /**
   * Counts a request that ended.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param nowMs current time in milliseconds
   */
  public synchronized void ended(EndpointName endpoint, ArtifactName artifact, long nowMs) {
    Use use = uses.get(new Id(endpoint, artifact));
    use.inFlight--;
    use.lastEndMs = nowMs;
  }

  /**
   * Returns the report to control.
   *
   * @param nowMs current time in milliseconds
   * @return the use of each replica
   */
  public synchronized ModelUse report(long nowMs) {
    uses.values().removeIf(u -> u.inFlight == 0 && nowMs - u.lastEndMs > FORGET_AFTER_MS);
    List<ReplicaUse> list =
        uses.entrySet().stream().map(e -> use(e.getKey(), e.getValue(), nowMs)).toList();
    return new ModelUse(list);
  }

  private static ReplicaUse use(Id id, Use use, long nowMs) {
    long idleMs = use.inFlight > 0 ? 0 : nowMs - use.lastEndMs;
    return new ReplicaUse(id.endpoint(), id.artifact(), use.inFlight, idleMs);
  }
}
