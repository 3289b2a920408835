package io.kumquatspindle.engine.fleet;

import java.util.Map;

/**
 * Estimates what the other VMs send for a model within a cycle of digests, which no report shows
 * yet. Handles large fleets whose digests take longer than a request, and bursts: without the
 * estimate, all VMs would take the endpoint with the lowest reported counts for idle. Callers are
 * assumed to be spread over the VMs, so that each other VM gets as much as this one did lately. Not
 * thread-safe: confined to one owner thread.
 */
public final class ExpectedArrivals {
  /**
   * Time over which the requests are averaged that this VM gets for a model, in ms. With a shorter
   * time, one long prompt at one VM counts as many at all of them.
   */
  private static final double MEAN_MS = 10_000;

  private static final int MAX_MODELS = 1_024;

  private final Map<String, Recent> byModel = new LruMap<>(MAX_MODELS);
  private final Fleet fleet;

  /** The VMs, as far as they matter for what is known of their requests. */
  public interface Fleet {
    /** A single VM. */
    Fleet SINGLE =
        new Fleet() {
          @Override
          public int vms() {
            return 1;
          }

          @Override
          public double heardShare() {
            return 1;
          }

          @Override
          public long digestCycleMs() {
            return 0;
          }
        };

    /**
     * Returns the number of VMs, this one included.
     *
     * @return at least 1
     */
    int vms();

    /**
     * Returns the share of the VMs whose digests are received, this VM included.
     *
     * @return more than 0, at most 1
     */
    double heardShare();

    /**
     * Returns the time in which each VM sends a digest to each other one.
     *
     * @return time in ms
     */
    long digestCycleMs();
  }

  /**
   * What other VMs are expected to send within a cycle of digests.
   *
   * @param requests number of requests
   * @param tokens tokens of these
   */
  public record Expected(double requests, double tokens) {}

  /** Requests for one model that this VM has got, with exponentially decaying weights. */
  private static final class Recent {
    private double requests;
    private double tokens;
    private long atMs;

    private void decayTo(long now) {
      double kept = Math.exp(-Math.max(0, now - atMs) / MEAN_MS);
      requests *= kept;
      tokens *= kept;
      atMs = now;
    }
  }

  /**
   * Creates an instance.
   *
   * @param fleet the VMs
   */
  public ExpectedArrivals(Fleet fleet) {
    this.fleet = fleet;
  }

  Fleet fleet() {
    return fleet;
  }

  /**
   * Counts a request of this VM, and returns what the others are expected to send by the earlier
   * ones: a single request says nothing about others.
   *
   * @param work the request
   * @param tokens tokens of the request that the estimate of memory considers
   * @param now current time, in ms
   * @return requests for the same model
   */
  public Expected count(RequestWork work, long tokens, long now) {
    Recent recent = byModel.computeIfAbsent(work.model(), m -> new Recent());
    recent.decayTo(now);
    double others = Math.max(0, fleet.vms() - 1) * fleet.digestCycleMs() / MEAN_MS;
    Expected expected = new Expected(others * recent.requests, others * recent.tokens);
    recent.requests++;
    recent.tokens += tokens;
    return expected;
  }
}
