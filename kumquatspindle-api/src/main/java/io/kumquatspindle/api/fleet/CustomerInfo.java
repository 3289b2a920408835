package io.kumquatspindle.api.fleet;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A customer, with its keys and rate limit.
 *
 * @param name name of the customer
 * @param keys API keys that are currently valid
 * @param priority priority that overrides that of the route, if any
 * @param meteredInTokens whether rate and burst are in tokens; otherwise they are in requests
 * @param defaultTokens number of tokens assumed for a request that does not specify any
 * @param ratePerSecond rate limit across all VMs; 0 means unlimited
 * @param burst burst limit across all VMs
 * @param regionsAllowed regions to whose endpoints its requests may be sent; empty: all regions
 */
public record CustomerInfo(
    String name,
    Set<String> keys,
    OptionalInt priority,
    boolean meteredInTokens,
    long defaultTokens,
    double ratePerSecond,
    double burst,
    Set<String> regionsAllowed) {

  /** Copies the sets. */
  public CustomerInfo {
    keys = Set.copyOf(keys);
    regionsAllowed = Set.copyOf(regionsAllowed);
  }

  /**
   * Creates a customer whose requests may be sent to all regions.
   *
   * @param name name of the customer
   * @param keys API keys that are currently valid
   * @param priority priority that overrides that of the route, if any
   * @param meteredInTokens whether rate and burst are in tokens; otherwise they are in requests
   * @param defaultTokens number of tokens assumed for a request that does not specify any
   * @param ratePerSecond rate limit across all VMs; 0 means unlimited
   * @param burst burst limit across all VMs
   */
  public CustomerInfo(
      String name,
      Set<String> keys,
      OptionalInt priority,
      boolean meteredInTokens,
      long defaultTokens,
      double ratePerSecond,
      double burst) {
    this(name, keys, priority, meteredInTokens, defaultTokens, ratePerSecond, burst, Set.of());
  }

  /**
   * Returns the cost of a request against the rate limit.
   *
   * @param tokens number of tokens specified by the request, or 0
   * @return the cost, in the unit of rate and burst
   */
  public double cost(long tokens) {
    if (!meteredInTokens) {
      return 1;
    }
    return tokens > 0 ? tokens : defaultTokens;
  }
}
