package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import java.util.PriorityQueue;

/**
 * Predicts when loads from the weight store can start, given its limits of concurrent loads and of
 * loads per second.
 */
final class StoreLoadSchedule {
  private static final double MS_PER_SECOND = 1_000;

  private final PriorityQueue<Long> permitFreeMs = new PriorityQueue<>();
  private final long now;
  private final long intervalMs;
  private long nextAllowedMs;

  StoreLoadSchedule(LoadContext context, LoadTimeEstimator estimator, long now) {
    Limits limits = context.configuration.limits();
    this.now = now;
    intervalMs = (long) Math.ceil(MS_PER_SECOND / Math.max(1e-3, limits.storeLoadsPerSecond()));
    nextAllowedMs =
        now + Math.max(0, context.stateMachine.nextStoreLoadMs() - context.estimatedLogTimeMs(now));
    for (Replica r : context.stateMachine.replicas()) {
      if (r.state() == Replica.State.PENDING && r.fromStore()) {
        permitFreeMs.add(now + estimator.remainingMs(r, now));
      }
    }
    for (LoadDecided load : context.appends.pendingLoads()) {
      if (load.fromStore()) {
        permitFreeMs.add(now + estimator.storeLoadMs(load.memoryMb()));
        nextAllowedMs = Math.max(nextAllowedMs, now) + intervalMs;
      }
    }
    int permits = Math.max(1, limits.storeLoadsAtOnce());
    for (int i = permitFreeMs.size(); i < permits; i++) {
      permitFreeMs.add(now);
    }
    while (permitFreeMs.size() > permits) {
      permitFreeMs.poll();
    }
  }

  /** Returns the earliest start time of the next load. */
  long nextStartMs() {
    return Math.max(now, Math.max(nextAllowedMs, permitFreeMs.peek()));
  }

  /** Reserves the next start time for a load of the given duration. */
  void reserve(long loadMs) {
    long start = nextStartMs();
    permitFreeMs.poll();
    permitFreeMs.add(start + loadMs);
    nextAllowedMs = start + intervalMs;
  }
}
