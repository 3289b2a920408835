package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.engine.check.ReplicaHistoryChecker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An endpoint that carries out whatever it is told, so that the checker sees every mistake. */
final class SimulatedEndpoint {
  final EndpointSpec spec;
  int incarnation = 1;
  private final ReplicaHistoryChecker checker;
  private final Map<ArtifactName, Long> doneAtMs = new HashMap<>();
  private long newestFence = -1;

  SimulatedEndpoint(EndpointSpec spec, ReplicaHistoryChecker checker) {
    this.spec = spec;
    this.checker = checker;
  }

  /** Returns when the load is done, or empty if the order is refused. */
  Optional<Long> load(LoadAction.SendLoad o, long now, long loadMs) {
    if (isStale(o.decision())) {
      return Optional.empty();
    }
    if (o.model().isPresent() && !isLoaded(o.model().get(), now)) {
      return Optional.empty();
    }
    if (!doneAtMs.containsKey(o.artifact())) {
      doneAtMs.put(o.artifact(), now + loadMs);
      checker.held(spec.name(), o.artifact(), o.memoryMb());
    }
    return Optional.of(doneAtMs.get(o.artifact()));
  }

  boolean unload(LoadAction.SendUnload o) {
    if (isStale(o.decision())) {
      return false;
    }
    drop(o.artifact());
    return true;
  }

  void restart() {
    incarnation++;
    newestFence = -1;
    List.copyOf(doneAtMs.keySet()).forEach(this::drop);
  }

  EndpointReport report(long now) {
    Map<ArtifactName, Integer> loaded = new HashMap<>();
    List<ArtifactName> loading = new ArrayList<>();
    for (ArtifactName a : doneAtMs.keySet()) {
      if (isLoaded(a, now)) {
        loaded.put(a, 0);
      } else {
        loading.add(a);
      }
    }
    return new EndpointReport(
        spec.name(), "i" + incarnation, 0, 0, 8, false, loaded, loading, List.of());
  }

  boolean isLoaded(ArtifactName a, long now) {
    return doneAtMs.getOrDefault(a, Long.MAX_VALUE) <= now;
  }

  private boolean isStale(long fence) {
    boolean stale = spec.fencing() && fence < newestFence;
    newestFence = Math.max(newestFence, fence);
    return stale;
  }

  private void drop(ArtifactName a) {
    if (doneAtMs.remove(a) != null) {
      checker.dropped(spec.name(), a);
    }
  }
}
