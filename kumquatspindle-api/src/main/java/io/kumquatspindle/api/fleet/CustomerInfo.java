package io.kumquatspindle.api.fleet;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A customer.
 *
 * @param name name of the customer
 * @param keys keys that are valid now
 * @param rank urgency that goes before the route's, if any
 * @param byTokens whether rate and burst count tokens; else requests
 * @param plainTokens tokens of a request that names none
 * @param ratePerS rate over all VMs; 0 means no limit
 * @param burst burst over all VMs
 */
public record CustomerInfo(
    String name,
    Set<String> keys,
    OptionalInt rank,
    boolean byTokens,
    long plainTokens,
    double ratePerS,
    double burst) {

  /** Copies the set. */
  public CustomerInfo {
    keys = Set.copyOf(keys);
  }

  /**
   * Returns what a request costs.
   *
   * @param tokens tokens that the request names, or 0
   * @return cost in the unit of rate and burst
   */
  public double cost(long tokens) {
    if (!byTokens) {
      return 1;
    }
    return tokens > 0 ? tokens : plainTokens;
  }
}
