package io.kumquatspindle.engine.check;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that no endpoint holds a replica that was not decided (C1) and that no endpoint's memory
 * is overcommitted (C2). Events are given in the order in which they happened. It knows nothing of
 * the rules of the fold, so that it also finds faults of these rules.
 */
public final class ReplicaHistoryChecker {
  private final Map<EndpointName, Long> capacityMb;
  private final Map<Long, Decided> decided = new HashMap<>();
  private final Map<EndpointName, Map<ArtifactName, Long>> held = new HashMap<>();
  private final List<String> faults = new ArrayList<>();

  /**
   * Returns a checker for an empty history.
   *
   * @param capacityMb accelerator memory of each endpoint, in MB
   */
  public ReplicaHistoryChecker(Map<EndpointName, Long> capacityMb) {
    this.capacityMb = Map.copyOf(capacityMb);
  }

  /**
   * A load decision was accepted.
   *
   * @param decision its offset
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param memoryMb memory that it reserves, in MB
   * @param maxReplicas replica limit of the artifact
   */
  public void decided(
      long decision, EndpointName endpoint, ArtifactName artifact, long memoryMb, int maxReplicas) {
    decided.put(decision, new Decided(endpoint, artifact, memoryMb));
    long count = decided.values().stream().filter(d -> d.artifact().equals(artifact)).count();
    if (count > maxReplicas) {
      faults.add(artifact + ": " + count + " replicas decided, limit " + maxReplicas);
    }
    long reserved =
        decided.values().stream()
            .filter(d -> d.endpoint().equals(endpoint))
            .mapToLong(Decided::memoryMb)
            .sum();
    checkMemory(endpoint, reserved, "reserved");
  }

  /**
   * A replica's reservation has ended.
   *
   * @param decision offset of its load decision
   */
  public void released(long decision) {
    Decided d = decided.remove(decision);
    if (d == null) {
      faults.add("decision " + decision + " released twice or never decided");
    } else if (held.getOrDefault(d.endpoint(), Map.of()).containsKey(d.artifact())
        && !isDecided(d.endpoint(), d.artifact())) {
      faults.add(d.endpoint() + " still holds " + d.artifact() + " after its release");
    }
  }

  /**
   * An endpoint has begun to load an artifact.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param memoryMb memory that it takes, in MB
   */
  public void held(EndpointName endpoint, ArtifactName artifact, long memoryMb) {
    Map<ArtifactName, Long> here = held.computeIfAbsent(endpoint, k -> new LinkedHashMap<>());
    here.put(artifact, memoryMb);
    if (!isDecided(endpoint, artifact)) {
      faults.add(endpoint + " holds " + artifact + " without a decision");
    }
    checkMemory(endpoint, here.values().stream().mapToLong(Long::longValue).sum(), "used");
  }

  /**
   * An endpoint no longer holds an artifact.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   */
  public void dropped(EndpointName endpoint, ArtifactName artifact) {
    held.getOrDefault(endpoint, new HashMap<>()).remove(artifact);
  }

  /**
   * Returns the faults found so far.
   *
   * @return one line for each fault, empty if the history is good
   */
  public List<String> faults() {
    return List.copyOf(faults);
  }

  private boolean isDecided(EndpointName endpoint, ArtifactName artifact) {
    return decided.values().stream()
        .anyMatch(d -> d.endpoint().equals(endpoint) && d.artifact().equals(artifact));
  }

  private void checkMemory(EndpointName endpoint, long memoryMb, String what) {
    long capacity = capacityMb.getOrDefault(endpoint, 0L);
    if (memoryMb > capacity) {
      faults.add(endpoint + ": " + memoryMb + " MB " + what + ", capacity " + capacity);
    }
  }

  private record Decided(EndpointName endpoint, ArtifactName artifact, long memoryMb) {}
}
