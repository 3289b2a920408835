package io.kumquatspindle.control;

import io.kumquatspindle.api.settings.Settings;
import io.kumquatspindle.engine.placement.CheckpointAwarePolicy;
import io.kumquatspindle.engine.placement.FirstFreePolicy;
import io.kumquatspindle.engine.placement.LeastRecentlyUsedEviction;
import io.kumquatspindle.engine.placement.PlacementPolicy;
import java.util.List;

/**
 * Policies that can be replaced by simple baselines for comparisons.
 *
 * @param placement selects the endpoints for loads and the replicas to unload
 * @param sharedDecider whether a single VM makes the decisions on an artifact for the whole fleet
 * @param tokenTransfers whether VMs transfer quota tokens to one another
 */
public record PolicySettings(
    PlacementPolicy placement, boolean sharedDecider, boolean tokenTransfers) {
  private static final String SECTION = "policy";
  private static final String CHECKPOINT_AWARE = "checkpoint_aware";
  private static final String FIRST_FREE = "first_free";
  private static final String BY_VALUE = "by_value";
  private static final String LEAST_RECENTLY_USED = "least_recently_used";

  static PolicySettings read(Settings s) {
    String placement =
        ControlSettings.oneOf(
            s, SECTION, "placement", CHECKPOINT_AWARE, List.of(CHECKPOINT_AWARE, FIRST_FREE));
    String eviction =
        ControlSettings.oneOf(
            s, SECTION, "eviction", BY_VALUE, List.of(BY_VALUE, LEAST_RECENTLY_USED));
    PlacementPolicy policy =
        placement.equals(FIRST_FREE) ? new FirstFreePolicy() : new CheckpointAwarePolicy();
    if (eviction.equals(LEAST_RECENTLY_USED)) {
      policy = new LeastRecentlyUsedEviction(policy);
    }
    return new PolicySettings(
        policy, s.flag(SECTION, "shared_decider", true), s.flag(SECTION, "token_transfers", true));
  }
}
