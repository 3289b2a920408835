package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how probable a use within the hour is, from the hours in which an artifact was used.
 */
final class UseHistory {
  private static final int HOURS_PER_DAY = 24;
  private static final long HOUR_MS = 3_600_000;
  // Weight of one day in the average of an hour of the day: about a week is remembered.
  private static final double DAY_WEIGHT = 0.2;

  private final Map<ArtifactName, Hours> hours = new HashMap<>();

  void used(ArtifactName artifact, long epochMs) {
    hours.computeIfAbsent(artifact, k -> new Hours()).used(epochMs);
  }

  double probability(ArtifactName artifact, long epochMs) {
    Hours h = hours.get(artifact);
    return h == null ? 0 : h.probability(epochMs);
  }

  void retain(java.util.function.Predicate<ArtifactName> known) {
    hours.keySet().removeIf(known.negate());
  }

  private static final class Hours {
    private final double[] average = new double[HOURS_PER_DAY];
    private long lastHour = -1;
    private long lastUseMs;

    void used(long epochMs) {
      long hour = epochMs / HOUR_MS;
      lastUseMs = Math.max(lastUseMs, epochMs);
      if (hour <= lastHour) {
        return;
      }
      decaySkipped(hour);
      int i = (int) (hour % HOURS_PER_DAY);
      average[i] += DAY_WEIGHT * (1 - average[i]);
      lastHour = hour;
    }

    private void decaySkipped(long hour) {
      long skipped = lastHour < 0 ? 0 : hour - lastHour - 1;
      long most = 30L * HOURS_PER_DAY;
      for (long h = hour - Math.min(skipped, most); h < hour; h++) {
        average[(int) (h % HOURS_PER_DAY)] *= 1 - DAY_WEIGHT;
      }
    }

    double probability(long epochMs) {
      int i = (int) (epochMs / HOUR_MS % HOURS_PER_DAY);
      double into = (double) (epochMs % HOUR_MS) / HOUR_MS;
      double byHour = average[i] * (1 - into) + average[(i + 1) % HOURS_PER_DAY] * into;
      double recent = Math.exp(-(double) Math.max(0, epochMs - lastUseMs) / HOUR_MS);
      return 1 - (1 - byHour) * (1 - recent);
    }
  }
}
