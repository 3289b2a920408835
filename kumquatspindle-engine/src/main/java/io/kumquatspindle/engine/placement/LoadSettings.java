package io.kumquatspindle.engine.placement;

/**
 * Time limits and expected speeds of a {@link LoadController}; times are in milliseconds.
 *
 * @param drainMs delay between an unload decision and its order, in which all VMs stop routing
 *     requests to the replica
 * @param reportLagMs maximum lag of a report behind the endpoint's state; a report confirms or
 *     refutes a replica only if it is newer than the event in question by this time
 * @param orderSettleMs how long an order may still be executed after its connection was closed; a
 *     later report without the artifact proves that the order can no longer take effect
 * @param reportMaxAgeMs report age from which an endpoint is considered unavailable
 * @param resendMs minimum interval between attempts of an order
 * @param retryMs delay before a rejected append is retried
 * @param unknownAppendTimeoutMs how long to wait for an append of unknown outcome to appear in the
 *     stream
 * @param demandTtlMs lifetime of a demand after it was last reported
 * @param takeoverJitterMs bound of the random part of the delay before a VM acts in place of
 *     another one; the fixed part has the same length
 * @param idleUnloadMs idle time after which a replica is unloaded
 * @param minEvictionIdleMs minimum idle time of a replica that is evicted to load another artifact
 * @param adapterLoadMs expected duration of an adapter load
 * @param diskMbPerSecond expected speed of a load from an endpoint's disk
 * @param storeMbPerSecond expected speed of one store transfer until the store reports its status
 */
public record LoadSettings(
    long drainMs,
    long reportLagMs,
    long orderSettleMs,
    long reportMaxAgeMs,
    long resendMs,
    long retryMs,
    long unknownAppendTimeoutMs,
    long demandTtlMs,
    long takeoverJitterMs,
    long idleUnloadMs,
    long minEvictionIdleMs,
    long adapterLoadMs,
    double diskMbPerSecond,
    double storeMbPerSecond) {

  /** Settings for production. */
  public static final LoadSettings DEFAULT =
      new LoadSettings(
          3_000, 5_000, 30_000, 15_000, 2_000, 200, 5_000, 2_000, 2_000, 900_000, 1_000, 15, 4_000,
          500);

  /** Validates the time limits and speeds. */
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
      throw new IllegalArgumentException("diskMbPerSecond and storeMbPerSecond must be positive");
    }
  }

  /**
   * Returns a copy with another idle time before unloading.
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
        unknownAppendTimeoutMs,
        demandTtlMs,
        takeoverJitterMs,
        ms,
        minEvictionIdleMs,
        adapterLoadMs,
        diskMbPerSecond,
        storeMbPerSecond);
  }
}
