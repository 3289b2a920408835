package io.kumquatspindle.engine.check;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks invariants C1 (no endpoint holds a replica without a load decision) and C2 (no endpoint's
 * memory is overcommitted). Events have to be reported in the order in which they happened. The
 * checker is independent of the rules of {@code PlacementFold}, so that it also detects errors in
 * these rules.
 */
public final class ReplicaHistoryChecker {
  private final Map<EndpointName, Long> capacityMb;
  private final Map<Long, DecidedLoad> decidedLoads = new HashMap<>();
  private final Map<EndpointName, Map<ArtifactName, Long>> usedMb = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * Creates a checker with an empty history.
   *
   * @param capacityMb accelerator memory of each endpoint, in MB
   */
  public ReplicaHistoryChecker(Map<EndpointName, Long> capacityMb) {
    this.capacityMb = Map.copyOf(capacityMb);
  }

  /**
   * Records an accepted load decision.
   *
   * @param decision offset of the decision
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param memoryMb memory that it reserves, in MB
   * @param maxReplicas replica limit of the artifact
   */
  public void loadDecided(
      long decision, EndpointName endpoint, ArtifactName artifact, long memoryMb, int maxReplicas) {
    decidedLoads.put(decision, new DecidedLoad(endpoint, artifact, memoryMb));
    long count = decidedLoads.values().stream().filter(d -> d.artifact().equals(artifact)).count();
    if (count > maxReplicas) {
      violations.add(artifact + ": " + count + " replicas decided, limit " + maxReplicas);
    }
    long reserved =
        decidedLoads.values().stream()
            .filter(d -> d.endpoint().equals(endpoint))
            .mapToLong(DecidedLoad::memoryMb)
            .sum();
    checkMemory(endpoint, reserved, "reserved");
  }

  /**
   * Records the release of a replica's reservation.
   *
   * @param decision offset of its load decision
   */
  public void reservationReleased(long decision) {
    DecidedLoad d = decidedLoads.remove(decision);
    if (d == null) {
      violations.add("decision " + decision + " released twice or never decided");
    } else if (usedMb.getOrDefault(d.endpoint(), Map.of()).containsKey(d.artifact())
        && !isDecided(d.endpoint(), d.artifact())) {
      violations.add(d.endpoint() + " still holds " + d.artifact() + " after its release");
    }
  }

  /**
   * Records that an endpoint has started to load an artifact.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param memoryMb memory that the artifact occupies, in MB
   */
  public void loadStarted(EndpointName endpoint, ArtifactName artifact, long memoryMb) {
    Map<ArtifactName, Long> artifacts =
        usedMb.computeIfAbsent(endpoint, k -> new LinkedHashMap<>());
    artifacts.put(artifact, memoryMb);
    if (!isDecided(endpoint, artifact)) {
      violations.add(endpoint + " holds " + artifact + " without a decision");
    }
    checkMemory(endpoint, artifacts.values().stream().mapToLong(Long::longValue).sum(), "used");
  }

  /**
   * Records that an endpoint no longer holds an artifact.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   */
  public void unloaded(EndpointName endpoint, ArtifactName artifact) {
    usedMb.getOrDefault(endpoint, new HashMap<>()).remove(artifact);
  }

  /**
   * Returns the violations found so far.
   *
   * @return one message for each violation
   */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  private boolean isDecided(EndpointName endpoint, ArtifactName artifact) {
    return decidedLoads.values().stream()
        .anyMatch(d -> d.endpoint().equals(endpoint) && d.artifact().equals(artifact));
  }

  private void checkMemory(EndpointName endpoint, long memoryMb, String what) {
    long capacity = capacityMb.getOrDefault(endpoint, 0L);
    if (memoryMb > capacity) {
      violations.add(endpoint + ": " + memoryMb + " MB " + what + ", capacity " + capacity);
    }
  }

  private record DecidedLoad(EndpointName endpoint, ArtifactName artifact, long memoryMb) {}
}
