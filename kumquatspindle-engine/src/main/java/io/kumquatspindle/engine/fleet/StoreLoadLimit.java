package io.kumquatspindle.engine.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many loads the weight store serves at once at full speed, from the durations of
 * loads. Needed for bursts of rarely used models at a store of unknown capacity: beyond it each
 * load takes proportionally longer, so that starting more of them delays all. Not thread-safe:
 * confined to one owner thread.
 */
final class StoreLoadLimit {
  /**
   * Ratio of the actual to the expected duration above which a load counts as slowed down. The end
   * of a load of some seconds is noticed up to half a second late.
   */
  private static final double SLOW = 1.25;

  /**
   * Ratio of the actual to the expected duration below which a load did not come from the weight
   * store: a load of a copy that is a little late is taken for one from the store.
   */
  private static final double COPY = 0.8;

  /**
   * Mean number of concurrent loads below which a slow load says nothing about the store: the
   * endpoint may have started it late.
   */
  private static final double MIN_CONCURRENCY = 1.5;

  /** Number of slow loads from which the limit is lowered; one may be due to its endpoint. */
  private static final int MIN_SLOW_SAMPLES = 2;

  /** Maximum number of ended loads on which the estimate is based. */
  private static final int MAX_SAMPLES = 8;

  /** Age after which the duration of a load is discarded, in ms; a few times that of a load. */
  private static final long SAMPLE_TTL_MS = 30_000;

  /** Time without slow loads after which more concurrent loads are tried again, in ms. */
  private static final long PROBE_INTERVAL_MS = 20_000;

  /** Limit before the duration of any load is known; raised by each load at full speed. */
  private static final int INITIAL_LIMIT = 2;

  private final int maximum;
  private final Deque<Sample> endedLoads = new ArrayDeque<>();

  /** Loads in progress that are late, as they were last seen. */
  private final Map<Observation, Sample> lateLoads = new HashMap<>();

  private int limit;
  private int concurrency;
  private long lastChangeMs;

  /** Integral of the concurrency over time, up to the last change. */
  private double loadMillis;

  private long lastSlowMs = Long.MIN_VALUE / 2;

  /** What is known of one load since it was first seen. */
  static final class Observation {
    private final long startMs;
    private final long seenMs;
    private final double loadMillisBefore;
    private final int othersBefore;

    private Observation(long startMs, long seenMs, double loadMillisBefore, int othersBefore) {
      this.startMs = startMs;
      this.seenMs = seenMs;
      this.loadMillisBefore = loadMillisBefore;
      this.othersBefore = othersBefore;
    }
  }

  /**
   * The speed of one load.
   *
   * @param capacity number of loads at full speed that all loads together amounted to meanwhile; a
   *     lower bound if the load was not slow, an upper bound if it has not ended
   * @param slow whether the load was slowed down by others
   * @param atMs when the load ended or was last seen, in ms
   */
  private record Sample(double capacity, boolean slow, long atMs) {}

  /**
   * Creates an estimate.
   *
   * @param maximum the highest limit, however fast the loads are
   */
  StoreLoadLimit(int maximum) {
    this.maximum = maximum;
    this.limit = Math.min(INITIAL_LIMIT, maximum);
  }

  /** Records the number of loads in progress from the weight store. */
  void setConcurrency(int loads, long now) {
    loadMillis = loadMillisAt(now);
    lastChangeMs = now;
    concurrency = loads;
  }

  private double loadMillisAt(long now) {
    return loadMillis + (double) concurrency * (now - lastChangeMs);
  }

  /** Begins to observe a load that started at a given time. */
  Observation observe(long startMs, long now) {
    return new Observation(startMs, now, loadMillisAt(now), concurrency);
  }

  /** Handles that a load is still in progress; it counts once it is slow. */
  void inProgress(Observation load, long expectedMs, long now) {
    if (now - load.startMs > SLOW * expectedMs) {
      add(load, expectedMs, false, 0, now);
    }
  }

  /**
   * Handles the end of a load.
   *
   * @param load the load
   * @param expectedMs its expected duration without other loads, in ms
   * @param unendedPeers number of loads that began together with it and have not ended, so that the
   *     store may have taken it before them
   * @param now current time, in ms
   */
  void ended(Observation load, long expectedMs, int unendedPeers, long now) {
    add(load, expectedMs, true, unendedPeers, now);
  }

  private void add(Observation load, long expectedMs, boolean ended, int unendedPeers, long now) {
    lateLoads.remove(load);
    double ratio = (double) (now - load.startMs) / Math.max(1, expectedMs);
    if (ratio < COPY) {
      return;
    }
    double mean = meanConcurrency(load, now);
    boolean slow = ratio > SLOW;
    boolean slowedByOthers = slow && mean >= MIN_CONCURRENCY;
    // A store may slow down only the loads that begin beside others: at full speed, a load says
    // nothing of those that began after it.
    double atFullSpeed = Math.min(mean, load.othersBefore + 1 - unendedPeers);
    Sample sample = new Sample(slow ? mean / ratio : atFullSpeed, slow, now);
    if (!ended && slowedByOthers) {
      lateLoads.put(load, sample);
    } else if (ended && (slowedByOthers || !slow)) {
      endedLoads.addLast(sample);
    }
    removeOldSamples(now);
    long slowLoads = lateLoads.size() + endedLoads.stream().filter(Sample::slow).count();
    if (slowLoads >= MIN_SLOW_SAMPLES) {
      limit = (int) Math.max(1, Math.min(maximum, Math.round(capacity())));
      lastSlowMs = slowedByOthers ? now : lastSlowMs;
    } else if (!slowedByOthers
        && atFullSpeed > limit - 0.5
        && now - lastSlowMs >= PROBE_INTERVAL_MS) {
      limit = Math.min(maximum, limit + 1);
    }
  }

  private void removeOldSamples(long now) {
    lateLoads.values().removeIf(s -> now - s.atMs() > SAMPLE_TTL_MS);
    endedLoads.removeIf(s -> now - s.atMs() > SAMPLE_TTL_MS);
    if (endedLoads.size() > MAX_SAMPLES) {
      endedLoads.removeFirst();
    }
  }

  /**
   * Returns the capacity that the loads show: the highest of those that have ended, as single ones
   * may be slow for another reason, and no more than two loads that are still late allow.
   */
  private double capacity() {
    double shown = endedLoads.stream().mapToDouble(Sample::capacity).max().orElse(maximum);
    double allowed =
        lateLoads.values().stream()
            .mapToDouble(Sample::capacity)
            .sorted()
            .skip(MIN_SLOW_SAMPLES - 1)
            .findFirst()
            .orElse(maximum);
    return Math.min(shown, allowed);
  }

  private double meanConcurrency(Observation load, long now) {
    return now > load.seenMs
        ? (loadMillisAt(now) - load.loadMillisBefore) / (now - load.seenMs)
        : concurrency;
  }

  /** Returns the number of loads that run at full speed. */
  int limit() {
    return limit;
  }

  /** Returns by how much each load is slowed down at present, at least 1. */
  double slowdown() {
    return Math.max(1, (double) concurrency / limit);
  }
}
