package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;

/**
 * Fleet-wide limits.
 *
 * @param failureDomains the failure domains of the site, in a fixed order
 * @param slotsPerDomain number of quota slots per failure domain, at least 1
 * @param storeLoadsAtOnce maximum number of concurrent loads from the weight store
 * @param storeLoadsPerSecond maximum number of loads from the weight store started per second
 * @param adapterLoadsAtOnce maximum number of concurrent adapter loads across all endpoints
 */
public record Limits(
    List<FailureDomain> failureDomains,
    int slotsPerDomain,
    int storeLoadsAtOnce,
    double storeLoadsPerSecond,
    int adapterLoadsAtOnce) {

  /** Limits of an empty configuration. */
  public static final Limits NONE = new Limits(List.of(), 1, 4, 4.0, 30);

  /** Copies the list. */
  public Limits {
    failureDomains = failureDomains == null ? List.of() : List.copyOf(failureDomains);
  }
}
