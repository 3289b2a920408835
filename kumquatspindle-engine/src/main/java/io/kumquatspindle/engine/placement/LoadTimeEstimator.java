package io.kumquatspindle.engine.placement;

/** Estimates load times from the store speed, the disk speed and the size of the artifact. */
final class LoadTimeEstimator {
  private static final double MS_PER_SECOND = 1_000;
  // Lower bound of the remaining time, also for a load that has exceeded its estimate.
  private static final long MIN_REMAINING_MS = 100;
  // A load that exceeds its estimate several times over has probably lost its order or its sender.
  private static final long STALLED_FACTOR = 3;
  private static final long STALLED_MARGIN_MS = 5_000;

  private final LoadContext context;

  LoadTimeEstimator(LoadContext context) {
    this.context = context;
  }

  long storeLoadMs(long memoryMb) {
    return (long) Math.ceil(memoryMb * MS_PER_SECOND / context.storeMbPerSecond);
  }

  long diskLoadMs(long memoryMb) {
    return (long) Math.ceil(memoryMb * MS_PER_SECOND / context.settings.diskMbPerSecond());
  }

  long adapterLoadMs() {
    return context.settings.adapterLoadMs();
  }

  long loadMs(boolean adapter, boolean fromStore, long memoryMb) {
    if (adapter) {
      return adapterLoadMs();
    }
    return fromStore ? storeLoadMs(memoryMb) : diskLoadMs(memoryMb);
  }

  long remainingMs(Replica r, long now) {
    return Math.max(MIN_REMAINING_MS, expectedLoadMs(r) - pendingMs(r, now));
  }

  boolean isStalled(Replica r, long now) {
    return pendingMs(r, now) > STALLED_FACTOR * expectedLoadMs(r) + STALLED_MARGIN_MS;
  }

  private long expectedLoadMs(Replica r) {
    return loadMs(r.model().isPresent(), r.fromStore(), r.memoryMb());
  }

  private long pendingMs(Replica r, long now) {
    return now - context.stateChangedMs(r, now);
  }
}
