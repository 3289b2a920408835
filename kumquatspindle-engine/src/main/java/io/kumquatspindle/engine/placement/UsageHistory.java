package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the probability that an artifact is used within the next hour, from its last use and
 * from the hours of the day in which it was used.
 */
final class UsageHistory {
  private static final int HOURS_PER_DAY = 24;
  private static final long HOUR_MS = 3_600_000;
  // Weight of the newest day in the moving average per hour of the day, which spans about a week.
  private static final double NEWEST_DAY_WEIGHT = 0.2;

  private final Map<ArtifactName, HourlyUsage> byArtifact = new HashMap<>();

  void recordUse(ArtifactName artifact, long epochMs) {
    byArtifact.computeIfAbsent(artifact, k -> new HourlyUsage()).recordUse(epochMs);
  }

  double probability(ArtifactName artifact, long epochMs) {
    HourlyUsage h = byArtifact.get(artifact);
    return h == null ? 0 : h.probability(epochMs);
  }

  void retain(java.util.function.Predicate<ArtifactName> known) {
    byArtifact.keySet().removeIf(known.negate());
  }

  private static final class HourlyUsage {
    private final double[] useRateByHour = new double[HOURS_PER_DAY];
    private long lastHour = -1;
    private long lastUseMs;

    void recordUse(long epochMs) {
      long hour = epochMs / HOUR_MS;
      lastUseMs = Math.max(lastUseMs, epochMs);
      if (hour <= lastHour) {
        return;
      }
      decayUnusedHours(hour);
      int hourOfDay = (int) (hour % HOURS_PER_DAY);
      useRateByHour[hourOfDay] += NEWEST_DAY_WEIGHT * (1 - useRateByHour[hourOfDay]);
      lastHour = hour;
    }

    private void decayUnusedHours(long hour) {
      long skipped = lastHour < 0 ? 0 : hour - lastHour - 1;
      long maxSkipped = 30L * HOURS_PER_DAY;
      for (long h = hour - Math.min(skipped, maxSkipped); h < hour; h++) {
        useRateByHour[(int) (h % HOURS_PER_DAY)] *= 1 - NEWEST_DAY_WEIGHT;
      }
    }

    double probability(long epochMs) {
      int hourOfDay = (int) (epochMs / HOUR_MS % HOURS_PER_DAY);
      double hourFraction = (double) (epochMs % HOUR_MS) / HOUR_MS;
      double hourly =
          useRateByHour[hourOfDay] * (1 - hourFraction)
              + useRateByHour[(hourOfDay + 1) % HOURS_PER_DAY] * hourFraction;
      double recent = Math.exp(-(double) Math.max(0, epochMs - lastUseMs) / HOUR_MS);
      return 1 - (1 - hourly) * (1 - recent);
    }
  }
}
