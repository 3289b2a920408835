package io.kumquatspindle.bench.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** Cold-start times, and a lower bound on them for any policy. */
final class ColdStarts {
  private final List<Long> timesMs = new ArrayList<>();
  private final List<Long> lowerBoundsMs = new ArrayList<>();

  private ColdStarts() {}

  /**
   * Returns the cold starts of a run, which are the requests sent while no engine held their
   * artifact.
   *
   * <p>Requests for an artifact that arrive before it is ready share one load. The lower bound
   * schedules these loads in the order of their first requests, limited only by the transfer time
   * at full speed and by the number of concurrent transfers of the weight store.
   */
  static ColdStarts of(
      List<RequestOutcome> outcomes, EngineHistories engines, ToLongFunction<String> transferMs) {
    ColdStarts result = new ColdStarts();
    Map<String, Long> readyMs = new HashMap<>();
    long[] slotFreeAtMs = new long[Deployment.MAX_STORE_TRANSFERS];
    for (RequestOutcome outcome : outcomes) {
      Arrival a = outcome.arrival();
      if (engines.isLoaded(a.artifact(), a.timeMs())) {
        continue;
      }
      long ready = readyMs.getOrDefault(a.artifact(), Long.MIN_VALUE);
      boolean newEpisode = ready < a.timeMs();
      if (newEpisode) {
        ready = scheduleTransfer(slotFreeAtMs, a.timeMs(), transferMs.applyAsLong(a.artifact()));
        readyMs.put(a.artifact(), ready);
      }
      if (outcome.complete()) {
        result.timesMs.add(outcome.timeToFirstTokenMs());
        result.lowerBoundsMs.add(ready - a.timeMs() + Deployment.FIRST_TOKEN_MS);
      }
    }
    return result;
  }

  private static long scheduleTransfer(long[] slotFreeAtMs, long startMs, long durationMs) {
    Arrays.sort(slotFreeAtMs);
    slotFreeAtMs[0] = Math.max(slotFreeAtMs[0], startMs) + durationMs;
    return slotFreeAtMs[0];
  }

  int count() {
    return timesMs.size();
  }

  long percentile(double p) {
    return percentile(timesMs, p);
  }

  double ratioAt(double p) {
    long bound = percentile(lowerBoundsMs, p);
    return bound == 0 ? Double.NaN : (double) percentile(timesMs, p) / bound;
  }

  private static long percentile(List<Long> values, double p) {
    if (values.isEmpty()) {
      return 0;
    }
    List<Long> sorted = new ArrayList<>(values);
    Collections.sort(sorted);
    int index = (int) Math.ceil(p / 100 * sorted.size()) - 1;
    return sorted.get(Math.max(0, index));
  }
}
