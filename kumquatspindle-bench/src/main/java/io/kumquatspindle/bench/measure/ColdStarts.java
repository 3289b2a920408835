package io.kumquatspindle.bench.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** Cold-start times, and the least that any policy could reach. */
final class ColdStarts {
  private final List<Long> times = new ArrayList<>();
  private final List<Long> bounds = new ArrayList<>();

  private ColdStarts() {}

  /**
   * Takes the requests that were sent while no engine held their artifact.
   *
   * <p>The lower bound serves the same episodes in order of their first request, with nothing but
   * the transfer at full speed and the limit on transfers at once.
   */
  static ColdStarts of(
      List<Served> served, EngineHistories engines, ToLongFunction<String> transferMs) {
    ColdStarts c = new ColdStarts();
    Map<String, Long> readyMs = new HashMap<>();
    long[] free = new long[Deployment.STORE_TRANSFERS_AT_ONCE];
    for (Served s : served) {
      Arrival a = s.arrival();
      if (engines.isLoaded(a.artifact(), a.timeMs())) {
        continue;
      }
      long ready = readyMs.getOrDefault(a.artifact(), Long.MIN_VALUE);
      boolean newEpisode = ready < a.timeMs();
      if (newEpisode) {
        ready = transfer(free, a.timeMs(), transferMs.applyAsLong(a.artifact()));
        readyMs.put(a.artifact(), ready);
      }
      if (s.complete()) {
        c.times.add(s.firstTokenAfterMs());
        c.bounds.add(ready - a.timeMs() + Deployment.FIRST_TOKEN_MS);
      }
    }
    return c;
  }

  private static long transfer(long[] free, long at, long takes) {
    Arrays.sort(free);
    free[0] = Math.max(free[0], at) + takes;
    return free[0];
  }

  int count() {
    return times.size();
  }

  long percentile(double p) {
    return percentile(times, p);
  }

  double ratioAt(double p) {
    long bound = percentile(bounds, p);
    return bound == 0 ? Double.NaN : (double) percentile(times, p) / bound;
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
