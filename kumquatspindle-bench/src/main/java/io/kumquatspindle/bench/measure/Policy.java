package io.kumquatspindle.bench.measure;

import java.util.Map;

/** Policies that are compared: ours, and plain baselines that differ from it in one respect. */
enum Policy {
  /** The policy that the programs ship with. */
  OURS(Map.of()),
  /** Each VM decides on its own, and takes the first endpoint with free memory. */
  FIRST_FREE(Map.of("policy.placement", "first_free", "policy.shared_decider", "false")),
  /** Unloads what has been idle longest. */
  LEAST_RECENTLY_USED(Map.of("policy.eviction", "least_recently_used")),
  /** Each VM keeps its equal part of a customer's rate. */
  FIXED_SHARES(Map.of("policy.token_transfers", "false"));

  private final Map<String, String> controlSettings;

  Policy(Map<String, String> controlSettings) {
    this.controlSettings = controlSettings;
  }

  /** Returns settings of the control programs, by section, dot and key. */
  Map<String, String> controlSettings() {
    return controlSettings;
  }
}
