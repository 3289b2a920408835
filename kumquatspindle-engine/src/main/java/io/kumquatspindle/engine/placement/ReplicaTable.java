package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Replicas indexed by decision, artifact and endpoint, with the totals that the limits apply to.
 */
final class ReplicaTable {
  private final TreeMap<Long, Replica> byDecision = new TreeMap<>();
  private final Map<ArtifactName, TreeMap<Long, Replica>> byArtifact = new HashMap<>();
  private final Map<EndpointName, TreeMap<Long, Replica>> byEndpoint = new HashMap<>();
  private final Map<EndpointName, Long> reservedMb = new HashMap<>();
  private int pendingStoreLoads;
  private int pendingAdapterLoads;

  void put(Replica r) {
    remove(r.decision());
    byDecision.put(r.decision(), r);
    byArtifact.computeIfAbsent(r.artifact(), k -> new TreeMap<>()).put(r.decision(), r);
    byEndpoint.computeIfAbsent(r.endpoint(), k -> new TreeMap<>()).put(r.decision(), r);
    updateTotals(r, 1);
  }

  void remove(long decision) {
    Replica r = byDecision.remove(decision);
    if (r == null) {
      return;
    }
    removeFrom(byArtifact, r.artifact(), decision);
    removeFrom(byEndpoint, r.endpoint(), decision);
    updateTotals(r, -1);
  }

  Optional<Replica> get(long decision) {
    return Optional.ofNullable(byDecision.get(decision));
  }

  Collection<Replica> all() {
    return Collections.unmodifiableCollection(byDecision.values());
  }

  Collection<Replica> ofArtifact(ArtifactName artifact) {
    return values(byArtifact.get(artifact));
  }

  Collection<Replica> onEndpoint(EndpointName endpoint) {
    return values(byEndpoint.get(endpoint));
  }

  long reservedMb(EndpointName endpoint) {
    return reservedMb.getOrDefault(endpoint, 0L);
  }

  int pendingStoreLoads() {
    return pendingStoreLoads;
  }

  int pendingAdapterLoads() {
    return pendingAdapterLoads;
  }

  private void updateTotals(Replica r, int sign) {
    long reserved = reservedMb.merge(r.endpoint(), sign * r.memoryMb(), Long::sum);
    if (reserved == 0) {
      reservedMb.remove(r.endpoint());
    }
    if (r.state() != Replica.State.PENDING) {
      return;
    }
    pendingStoreLoads += r.fromStore() ? sign : 0;
    pendingAdapterLoads += r.model().isPresent() ? sign : 0;
  }

  private static Collection<Replica> values(TreeMap<Long, Replica> replicas) {
    return replicas == null
        ? Collections.emptyList()
        : Collections.unmodifiableCollection(replicas.values());
  }

  private static <K> void removeFrom(Map<K, TreeMap<Long, Replica>> index, K key, long decision) {
    TreeMap<Long, Replica> replicas = index.get(key);
    replicas.remove(decision);
    if (replicas.isEmpty()) {
      index.remove(key);
    }
  }
}
