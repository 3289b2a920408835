package io.kumquatspindle.bench.measure;

import java.util.Map;

/** Policies to compare: the default one, and baselines that each differ from it in one respect. */
enum Policy {
  /** The default policy of the programs. */
  OURS(Map.of()),
  /** Each VM decides independently and takes the first endpoint with enough free memory. */
  FIRST_FREE(Map.of("policy.placement", "first_free", "policy.shared_decider", "false")),
  /** Unloads the artifact that has been idle for the longest time. */
  LEAST_RECENTLY_USED(Map.of("policy.eviction", "least_recently_used")),
  /** Each VM has a fixed, equal share of the rate of each customer. */
  FIXED_SHARES(Map.of("policy.token_transfers", "false"));

  private final Map<String, String> controlSettings;

  Policy(Map<String, String> controlSettings) {
    this.controlSettings = controlSettings;
  }

  /** Returns the settings of the control processes, by section and key separated by a dot. */
  Map<String, String> controlSettings() {
    return controlSettings;
  }
}
