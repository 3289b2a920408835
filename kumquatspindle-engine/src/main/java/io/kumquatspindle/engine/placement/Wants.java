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

/** Wanted artifacts, ordered by deadline and by how far each customer is below its due share. */
final class Wants {
  private static final double HALF_LIFE_MS = 60_000;
  // Bounds how much a customer's share can stretch or shrink the time to its deadline, so that a
  // customer with no recent loads does not overtake every deadline.
  private static final double MOST_FACTOR = 4;

  private final Map<ArtifactName, Want> wants = new HashMap<>();
  private final Map<CustomerName, Double> served = new HashMap<>();
  private final long ttlMs;
  private long decayedMs;

  Wants(long ttlMs) {
    this.ttlMs = ttlMs;
  }

  void put(Want want) {
    wants.put(want.artifact(), want);
  }

  void remove(ArtifactName artifact) {
    wants.remove(artifact);
  }

  boolean contains(ArtifactName artifact) {
    return wants.containsKey(artifact);
  }

  void expire(long now) {
    wants.values().removeIf(w -> w.askedMs() < now - ttlMs);
  }

  /** Counts memory that was loaded for a customer. */
  void served(CustomerName customer, long memoryMb, long now) {
    decay(now);
    served.merge(customer, (double) memoryMb, Double::sum);
  }

  List<Want> inOrder(Configuration configuration, long now) {
    decay(now);
    long weights =
        wants.values().stream()
            .map(Want::customer)
            .distinct()
            .mapToLong(c -> weight(configuration, c))
            .sum();
    double total =
        wants.values().stream()
            .map(Want::customer)
            .distinct()
            .mapToDouble(c -> served.getOrDefault(c, 0.0))
            .sum();
    return wants.values().stream()
        .sorted(
            Comparator.comparingDouble(
                    (Want w) -> weighted(w, factor(configuration, w, total, weights), now))
                .thenComparing(Want::artifact))
        .toList();
  }

  private static double weighted(Want w, double factor, long now) {
    long left = w.deadlineMs() - now;
    return left <= 0 ? left : left * factor;
  }

  private double factor(Configuration configuration, Want w, double total, long weights) {
    if (total <= 0) {
      return 1;
    }
    double share = served.getOrDefault(w.customer(), 0.0) / total;
    double due = (double) weight(configuration, w.customer()) / weights;
    return Math.min(MOST_FACTOR, Math.max(1 / MOST_FACTOR, share / due));
  }

  private static int weight(Configuration configuration, CustomerName customer) {
    return Optional.ofNullable(configuration.customers().get(customer))
        .map(CustomerSpec::weight)
        .orElse(1);
  }

  private void decay(long now) {
    double keep = Math.pow(0.5, Math.max(0, now - decayedMs) / HALF_LIFE_MS);
    decayedMs = now;
    served.replaceAll((c, mb) -> mb * keep);
    served.values().removeIf(mb -> mb < 1);
  }
}
