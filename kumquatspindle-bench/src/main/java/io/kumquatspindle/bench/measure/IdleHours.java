package io.kumquatspindle.bench.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Idle accelerator time: the time during which no request uses a loaded replica, weighted by the
 * fraction of the engine memory that the replica occupies.
 */
final class IdleHours {
  private static final double MS_PER_HOUR = 3_600_000;

  private IdleHours() {}

  /** Returns the idle accelerator hours of a run. */
  static double measured(
      List<RequestOutcome> outcomes, EngineHistories engines, ToLongFunction<String> memoryMb) {
    double sum = 0;
    for (LoadedSpan span : engines.spans()) {
      long busy = busyMs(outcomes, span);
      long idle = Math.max(0, span.untilMs() - span.fromMs() - busy);
      sum += idle * memoryFraction(memoryMb.applyAsLong(span.artifact()));
    }
    return sum / MS_PER_HOUR;
  }

  /**
   * Returns the idle accelerator hours of a clairvoyant policy, which knows all arrivals in
   * advance. It keeps a replica between two requests only if the gap is at most twice the load
   * time, and otherwise unloads it immediately.
   */
  static double clairvoyant(
      List<RequestOutcome> outcomes,
      ToLongFunction<String> memoryMb,
      ToLongFunction<String> transferMs) {
    double sum = 0;
    List<String> artifacts =
        outcomes.stream().map(outcome -> outcome.arrival().artifact()).distinct().toList();
    for (String artifact : artifacts) {
      long maxGapMs = 2 * transferMs.applyAsLong(artifact);
      long lastEnd = Long.MIN_VALUE;
      for (RequestOutcome outcome : completedByFirstToken(outcomes, artifact)) {
        long gap = outcome.firstTokenMs() - lastEnd;
        if (lastEnd != Long.MIN_VALUE && gap > 0 && gap <= maxGapMs) {
          sum += gap * memoryFraction(memoryMb.applyAsLong(artifact));
        }
        lastEnd = Math.max(lastEnd, outcome.endMs());
      }
    }
    return sum / MS_PER_HOUR;
  }

  private static double memoryFraction(long memoryMb) {
    return (double) memoryMb / Deployment.ENGINE_MEMORY_MB;
  }

  // An artifact may be loaded on several engines. Its requests count as use on each of them.
  private static long busyMs(List<RequestOutcome> outcomes, LoadedSpan span) {
    long busy = 0;
    long coveredUntil = span.fromMs();
    for (RequestOutcome outcome : completedByFirstToken(outcomes, span.artifact())) {
      long from = Math.max(coveredUntil, outcome.firstTokenMs() - Deployment.FIRST_TOKEN_MS);
      long until = Math.min(outcome.endMs(), span.untilMs());
      if (until > from) {
        busy += until - from;
        coveredUntil = until;
      }
    }
    return busy;
  }

  private static List<RequestOutcome> completedByFirstToken(
      List<RequestOutcome> outcomes, String artifact) {
    List<RequestOutcome> list = new ArrayList<>();
    for (RequestOutcome outcome : outcomes) {
      if (outcome.complete() && outcome.arrival().artifact().equals(artifact)) {
        list.add(outcome);
      }
    }
    list.sort(Comparator.comparingLong(RequestOutcome::firstTokenMs));
    return list;
  }
}
