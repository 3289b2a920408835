package io.kumquatspindle.bench.measure;

import java.util.List;

/**
 * Dimensions of a deployment. Load times are scaled down to a tenth of the real ones, so that a run
 * of one minute represents ten minutes.
 *
 * @param name the name of the deployment
 * @param domains the names of the failure domains
 * @param vmsPerDomain the number of VMs in each failure domain
 * @param engines the number of model engines
 * @param services the number of plain service endpoints
 * @param models the number of models
 * @param adapters the number of adapters
 * @param storeLoadsPerMinute the number of loads that the weight store starts per minute
 * @param adapterLoadMinMs the minimum load time of an adapter, in milliseconds
 * @param adapterLoadMaxMs the maximum load time of an adapter, in milliseconds
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

  /** Accelerator memory of each engine, in MB. */
  static final long ENGINE_MEMORY_MB = 16_000;

  /** Speed of one transfer from the weight store, in MB per second. */
  static final int STORE_MB_PER_SECOND = 1_000;

  /** Maximum number of concurrent transfers that the weight store runs at full speed. */
  static final int MAX_STORE_TRANSFERS = 4;

  /** Time from the start of a request at an engine to its first token, in milliseconds. */
  static final int FIRST_TOKEN_MS = 50;

  /** Time between tokens, in milliseconds. */
  static final int PER_TOKEN_MS = 5;

  int vms() {
    return domains.size() * vmsPerDomain;
  }

  /** Returns the memory size of a model, in MB. The sizes vary from 1,000 to 4,000 MB. */
  static long modelMb(int index) {
    return 1_000 + 500L * (index * 5 % 7);
  }
}
