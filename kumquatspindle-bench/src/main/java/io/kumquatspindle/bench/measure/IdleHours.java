package io.kumquatspindle.bench.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Idle accelerator time: the part of an engine's memory that a replica holds, times the time that
 * no request uses it.
 */
final class IdleHours {
  private static final double MS_PER_HOUR = 3_600_000;

  private IdleHours() {}

  /** Returns idle accelerator hours of the run. */
  static double measured(
      List<Served> served, EngineHistories engines, ToLongFunction<String> memoryMb) {
    double sum = 0;
    for (LoadedSpan span : engines.spans()) {
      long busy = busyMs(served, span);
      long idle = Math.max(0, span.untilMs() - span.fromMs() - busy);
      sum += idle * part(memoryMb.applyAsLong(span.artifact()));
    }
    return sum / MS_PER_HOUR;
  }

  /**
   * Returns idle accelerator hours of a policy that knows the arrivals ahead: it keeps a replica
   * over a gap only if the gap is at most twice the load time, and otherwise unloads it at once.
   */
  static double withForeknowledge(
      List<Served> served, ToLongFunction<String> memoryMb, ToLongFunction<String> transferMs) {
    double sum = 0;
    List<String> artifacts = served.stream().map(s -> s.arrival().artifact()).distinct().toList();
    for (String artifact : artifacts) {
      long limit = 2 * transferMs.applyAsLong(artifact);
      long lastEnd = Long.MIN_VALUE;
      for (Served s : of(served, artifact)) {
        long gap = s.firstTokenMs() - lastEnd;
        if (lastEnd != Long.MIN_VALUE && gap > 0 && gap <= limit) {
          sum += gap * part(memoryMb.applyAsLong(artifact));
        }
        lastEnd = Math.max(lastEnd, s.endMs());
      }
    }
    return sum / MS_PER_HOUR;
  }

  private static double part(long memoryMb) {
    return (double) memoryMb / Deployment.ENGINE_MEMORY_MB;
  }

  // An artifact may be on several engines; its requests are counted at each of them evenly.
  private static long busyMs(List<Served> served, LoadedSpan span) {
    long busy = 0;
    long coveredUntil = span.fromMs();
    for (Served s : of(served, span.artifact())) {
      long from = Math.max(coveredUntil, s.firstTokenMs() - Deployment.FIRST_TOKEN_MS);
      long until = Math.min(s.endMs(), span.untilMs());
      if (until > from) {
        busy += until - from;
        coveredUntil = until;
      }
    }
    return busy;
  }

  private static List<Served> of(List<Served> served, String artifact) {
    List<Served> list = new ArrayList<>();
    for (Served s : served) {
      if (s.complete() && s.arrival().artifact().equals(artifact)) {
        list.add(s);
      }
    }
    list.sort(Comparator.comparingLong(Served::firstTokenMs));
    return list;
  }
}
