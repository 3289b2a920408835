package io.kumquatspindle.bench.measure;

import java.util.List;

/**
 * Sizes of a deployment. Times of loads are a tenth of the real ones, and a run of a minute stands
 * for ten minutes.
 *
 * @param name the deployment's name
 * @param domains names of the failure domains
 * @param vmsPerDomain entry VMs in each failure domain
 * @param engines model engines
 * @param services plain service endpoints
 * @param models models
 * @param adapters adapters
 * @param storeLoadsPerMinute loads that the weight store starts in a minute
 * @param adapterLoadMinMs shortest adapter load, in milliseconds
 * @param adapterLoadMaxMs longest adapter load, in milliseconds
 */
record Deployment(
    String name,
    List<String> domains,
    int vmsPerDomain,
    int engines,
    int services,
    int models,
    int adapters,
    int storeLoadsPerMinute,
    int adapterLoadMinMs,
    int adapterLoadMaxMs) {

  static final Deployment KENYA =
      new Deployment(
          "kenya", List.of("nairobi-1", "nairobi-2", "nairobi-3"), 2, 13, 3, 100, 115, 450, 7, 13);

  static final Deployment SWEDEN =
      new Deployment(
          "sweden", List.of("svealand-1", "svealand-2", "svealand-3"), 2, 8, 3, 65, 75, 240, 5, 10);

  /** Accelerator memory of an engine, in MB. */
  static final long ENGINE_MEMORY_MB = 16_000;

  /** Speed of one transfer from the weight store, in MB a second. */
  static final int STORE_MB_PER_SECOND = 1_000;

  /** Transfers that the weight store runs at once at full speed. */
  static final int STORE_TRANSFERS_AT_ONCE = 4;

  /** Time from the start of a request at an engine to its first token, in milliseconds. */
  static final int FIRST_TOKEN_MS = 50;

  /** Time between tokens, in milliseconds. */
  static final int PER_TOKEN_MS = 5;

  int vms() {
    return domains.size() * vmsPerDomain;
  }

  /** Returns the memory of a model, in MB: 1,000 to 4,000, spread over the models. */
  static long modelMb(int index) {
    return 1_000 + 500L * (index * 5 % 7);
  }
}
