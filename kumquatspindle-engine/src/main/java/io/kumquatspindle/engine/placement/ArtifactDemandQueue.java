package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Demanded artifacts, ordered by the time to their deadlines, scaled by the ratio of each
 * customer's recent share of loaded memory to its fair share.
 */
final class ArtifactDemandQueue {
  private static final double LOADED_HALF_LIFE_MS = 60_000;
  // Bounds the factor by which a customer's share scales the time to its deadline, so that a
  // customer without recent loads does not take precedence over every other deadline.
  private static final double MAX_SHARE_FACTOR = 4;

  private final Map<ArtifactName, ArtifactDemand> byArtifact = new HashMap<>();
  private final Map<CustomerName, Double> loadedMbByCustomer = new HashMap<>();
  private final long ttlMs;
  private long decayedMs;

  ArtifactDemandQueue(long ttlMs) {
    this.ttlMs = ttlMs;
  }

  void put(ArtifactDemand demand) {
    byArtifact.put(demand.artifact(), demand);
  }

  void remove(ArtifactName artifact) {
    byArtifact.remove(artifact);
  }

  boolean contains(ArtifactName artifact) {
    return byArtifact.containsKey(artifact);
  }

  void expire(long now) {
    byArtifact.values().removeIf(demand -> demand.reportedMs() < now - ttlMs);
  }

  /** Records memory that was loaded for a customer. */
  void recordLoad(CustomerName customer, long memoryMb, long now) {
    decay(now);
    loadedMbByCustomer.merge(customer, (double) memoryMb, Double::sum);
  }

  List<ArtifactDemand> byPriority(Configuration configuration, long now) {
    decay(now);
    long totalWeight =
        byArtifact.values().stream()
            .map(ArtifactDemand::customer)
            .distinct()
            .mapToLong(c -> weight(configuration, c))
            .sum();
    double totalLoadedMb =
        byArtifact.values().stream()
            .map(ArtifactDemand::customer)
            .distinct()
            .mapToDouble(c -> loadedMbByCustomer.getOrDefault(c, 0.0))
            .sum();
    return byArtifact.values().stream()
        .sorted(
            Comparator.comparingDouble(
                    (ArtifactDemand demand) ->
                        priority(
                            demand,
                            shareFactor(configuration, demand, totalLoadedMb, totalWeight),
                            now))
                .thenComparing(ArtifactDemand::artifact))
        .toList();
  }

  private static double priority(ArtifactDemand demand, double factor, long now) {
    long remainingMs = demand.deadlineMs() - now;
    return remainingMs <= 0 ? remainingMs : remainingMs * factor;
  }

  private double shareFactor(
      Configuration configuration, ArtifactDemand demand, double totalLoadedMb, long totalWeight) {
    if (totalLoadedMb <= 0) {
      return 1;
    }
    double share = loadedMbByCustomer.getOrDefault(demand.customer(), 0.0) / totalLoadedMb;
    double fairShare = (double) weight(configuration, demand.customer()) / totalWeight;
    return Math.min(MAX_SHARE_FACTOR, Math.max(1 / MAX_SHARE_FACTOR, share / fairShare));
  }

  private static int weight(Configuration configuration, CustomerName customer) {
    return Optional.ofNullable(configuration.customers().get(customer))
        .map(CustomerSpec::weight)
        .orElse(1);
  }

  private void decay(long now) {
    double retained = Math.pow(0.5, Math.max(0, now - decayedMs) / LOADED_HALF_LIFE_MS);
    decayedMs = now;
    loadedMbByCustomer.replaceAll((c, mb) -> mb * retained);
    loadedMbByCustomer.values().removeIf(mb -> mb < 1);
  }
}
