package io.kumquatspindle.engine.placement;

/** Estimates how long loads take, from store speed, disk speed and the size of the artifact. */
final class LoadTimes {
  private static final double MS_PER_SECOND = 1_000;
  // A load that is over its estimate is expected to end soon, but never at once.
  private static final long LEAST_REMAINING_MS = 100;
  // A load that takes several times its estimate has probably lost its order or its sender.
  private static final long STALLED_FACTOR = 3;
  private static final long STALLED_MARGIN_MS = 5_000;

  private final LoadContext context;

  LoadTimes(LoadContext context) {
    this.context = context;
  }

  long storeMs(long memoryMb) {
    return (long) Math.ceil(memoryMb * MS_PER_SECOND / context.storeMbPerSecond);
  }

  long diskMs(long memoryMb) {
    return (long) Math.ceil(memoryMb * MS_PER_SECOND / context.settings.diskMbPerSecond());
  }

  long adapterMs() {
    return context.settings.adapterLoadMs();
  }

  long loadMs(boolean adapter, boolean fromStore, long memoryMb) {
    if (adapter) {
      return adapterMs();
    }
    return fromStore ? storeMs(memoryMb) : diskMs(memoryMb);
  }

  long remainingMs(Replica r, long now) {
    return Math.max(LEAST_REMAINING_MS, expectedMs(r) - pendingMs(r, now));
  }

  boolean isStalled(Replica r, long now) {
    return pendingMs(r, now) > STALLED_FACTOR * expectedMs(r) + STALLED_MARGIN_MS;
  }

  private long expectedMs(Replica r) {
    return loadMs(r.model().isPresent(), r.fromStore(), r.memoryMb());
  }

  private long pendingMs(Replica r, long now) {
    return now - context.changedMs(r, now);
  }
}
