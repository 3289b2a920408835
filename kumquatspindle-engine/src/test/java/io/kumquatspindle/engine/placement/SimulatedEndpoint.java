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

/**
 * An endpoint that executes every order without checking its memory, so that the checker detects
 * every wrong order. Rejects orders only by fencing number, if it has fencing, and adapters without
 * their model.
 */
final class SimulatedEndpoint {
  final EndpointSpec spec;
  int incarnation = 1;
  private final ReplicaHistoryChecker checker;
  private final Map<ArtifactName, Long> loadedAtMs = new HashMap<>();
  private long highestFencingNumber = -1;

  SimulatedEndpoint(EndpointSpec spec, ReplicaHistoryChecker checker) {
    this.spec = spec;
    this.checker = checker;
  }

  /** Returns the completion time of the load, or empty if the order is refused. */
  Optional<Long> load(LoadAction.SendLoad o, long now, long loadMs) {
    if (isStale(o.decision())) {
      return Optional.empty();
    }
    if (o.model().isPresent() && !isLoaded(o.model().get(), now)) {
      return Optional.empty();
    }
    if (!loadedAtMs.containsKey(o.artifact())) {
      loadedAtMs.put(o.artifact(), now + loadMs);
      checker.loadStarted(spec.name(), o.artifact(), o.memoryMb());
    }
    return Optional.of(loadedAtMs.get(o.artifact()));
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
    highestFencingNumber = -1;
    List.copyOf(loadedAtMs.keySet()).forEach(this::drop);
  }

  EndpointReport report(long now) {
    Map<ArtifactName, Integer> loaded = new HashMap<>();
    List<ArtifactName> loading = new ArrayList<>();
    for (ArtifactName a : loadedAtMs.keySet()) {
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
    return loadedAtMs.getOrDefault(a, Long.MAX_VALUE) <= now;
  }

  private boolean isStale(long fencingNumber) {
    boolean stale = spec.fencing() && fencingNumber < highestFencingNumber;
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    return stale;
  }

  private void drop(ArtifactName a) {
    if (loadedAtMs.remove(a) != null) {
      checker.unloaded(spec.name(), a);
    }
  }
}
