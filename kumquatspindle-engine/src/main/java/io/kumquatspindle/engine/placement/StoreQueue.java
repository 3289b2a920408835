package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import java.util.PriorityQueue;

/** Predicts when loads from the weight store can start, given its permits and its rate. */
final class StoreQueue {
  private static final double MS_PER_SECOND = 1_000;

  private final PriorityQueue<Long> freeAtMs = new PriorityQueue<>();
  private final long now;
  private final long intervalMs;
  private long nextMs;

  StoreQueue(LoadContext context, LoadTimes times, long now) {
    Limits limits = context.configuration.limits();
    this.now = now;
    intervalMs = (long) Math.ceil(MS_PER_SECOND / Math.max(1e-3, limits.storeLoadsPerSecond()));
    nextMs = now + Math.max(0, context.fold.nextStoreLoadMs() - context.epochMs(now));
    for (Replica r : context.fold.replicas()) {
      if (r.state() == Replica.State.PENDING && r.fromStore()) {
        freeAtMs.add(now + times.remainingMs(r, now));
      }
    }
    for (LoadDecided load : context.appends.loads()) {
      if (load.fromStore()) {
        freeAtMs.add(now + times.storeMs(load.memoryMb()));
        nextMs = Math.max(nextMs, now) + intervalMs;
      }
    }
    int permits = Math.max(1, limits.storeLoadsAtOnce());
    for (int i = freeAtMs.size(); i < permits; i++) {
      freeAtMs.add(now);
    }
    while (freeAtMs.size() > permits) {
      freeAtMs.poll();
    }
  }

  /** Returns when the next load could start. */
  long nextStartMs() {
    return Math.max(now, Math.max(nextMs, freeAtMs.peek()));
  }

  /** Takes the next place in the queue. */
  void take(long loadMs) {
    long start = nextStartMs();
    freeAtMs.poll();
    freeAtMs.add(start + loadMs);
    nextMs = start + intervalMs;
  }
}
