package io.kumquatspindle.engine.placement;

/**
 * Times and speeds of a {@link LoadController}; times in milliseconds.
 *
 * @param drainMs time between an unload decision and its order, in which all VMs stop routing
 * @param reportLagMs how long a report may lag behind the endpoint; a report counts as evidence for
 *     or against a replica only if it is newer than the event in question by this time
 * @param orderSettleMs how long after its connection was closed an order may still be carried out;
 *     after that a report without the artifact shows that the order can no longer arrive
 * @param reportMaxAgeMs age from which an endpoint counts as not answering
 * @param resendMs interval of repeated orders
 * @param retryMs wait before a rejected append or a refused unload is tried again
 * @param unknownAppendMs wait for an append of unknown outcome to show up in the stream
 * @param wantTtlMs how long a wanted artifact counts as wanted after it was last asked for
 * @param takeoverJitterMs longest random wait before a VM acts for one that is gone
 * @param idleUnloadMs idle time after which a replica is unloaded
 * @param evictIdleMs idle time from which a replica may be unloaded for a wanted artifact
 * @param adapterLoadMs expected time of an adapter load
 * @param diskMbPerSecond expected speed of a load from an endpoint's disk
 * @param storeMbPerSecond expected speed of one store transfer before the store's state is known
 */
public record LoadSettings(
    long drainMs,
    long reportLagMs,
    long orderSettleMs,
    long reportMaxAgeMs,
    long resendMs,
    long retryMs,
    long unknownAppendMs,
    long wantTtlMs,
    long takeoverJitterMs,
    long idleUnloadMs,
    long evictIdleMs,
    long adapterLoadMs,
    double diskMbPerSecond,
    double storeMbPerSecond) {

  /** Settings for production. */
  public static final LoadSettings DEFAULT =
      new LoadSettings(
          3_000, 5_000, 30_000, 15_000, 2_000, 200, 5_000, 2_000, 2_000, 900_000, 1_000, 15, 4_000,
          500);

  /** Checks that times and speeds are usable. */
  public LoadSettings {
    if (drainMs < 0 || reportLagMs < 0 || orderSettleMs < reportLagMs) {
      throw new IllegalArgumentException(
          "need drainMs >= 0 and 0 <= reportLagMs <= orderSettleMs but were "
              + drainMs
              + ", "
              + reportLagMs
              + ", "
              + orderSettleMs);
    }
    if (!(diskMbPerSecond > 0) || !(storeMbPerSecond > 0)) {
      throw new IllegalArgumentException("speeds must be positive");
    }
  }

  /**
   * Returns the same settings with another idle time.
   *
   * @param ms idle time after which a replica is unloaded, in milliseconds
   * @return the settings
   */
  public LoadSettings withIdleUnloadMs(long ms) {
    return new LoadSettings(
        drainMs,
        reportLagMs,
        orderSettleMs,
        reportMaxAgeMs,
        resendMs,
        retryMs,
        unknownAppendMs,
        wantTtlMs,
        takeoverJitterMs,
        ms,
        evictIdleMs,
        adapterLoadMs,
        diskMbPerSecond,
        storeMbPerSecond);
  }
}
