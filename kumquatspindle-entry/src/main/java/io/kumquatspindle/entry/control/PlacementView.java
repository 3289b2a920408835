package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.PlacementUpdate;
import io.kumquatspindle.api.message.EntryMessage.Replica;
import io.kumquatspindle.api.message.EntryMessage.ReplicaState;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** The replicas of models and adapters, as announced by control. */
public final class PlacementView {
  private record ReplicaId(EndpointName endpoint, ArtifactName artifact) {}

  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final Set<ReplicaId> notLoaded = ConcurrentHashMap.newKeySet();
  private volatile Map<ArtifactName, List<Replica>> replicas = Map.of();

  /**
   * Returns the endpoints that accept requests for an artifact.
   *
   * @param artifact the model or adapter
   * @return endpoints with a ready replica, except those that reported not having loaded it
   */
  public List<EndpointName> readyEndpoints(ArtifactName artifact) {
    return replicas.getOrDefault(artifact, List.of()).stream()
        .filter(r -> r.state() == ReplicaState.READY)
        .map(Replica::endpoint)
        .filter(e -> !notLoaded.contains(new ReplicaId(e, artifact)))
        .toList();
  }

  /**
   * Records that an endpoint reported not having loaded an artifact. It receives no requests for
   * the artifact until the next update.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   */
  public void markNotLoaded(EndpointName endpoint, ArtifactName artifact) {
    notLoaded.add(new ReplicaId(endpoint, artifact));
  }

  /**
   * Registers a listener for updates.
   *
   * @param listener called after each update, on the thread that receives the message; must not
   *     block
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  void update(PlacementUpdate update) {
    replicas = update.replicas().stream().collect(Collectors.groupingBy(Replica::artifact));
    notLoaded.clear();
    listeners.forEach(Runnable::run);
  }
}
