package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;

/**
 * Fleet-wide limits.
 *
 * @param failureDomains the failure domains of the site, in a fixed order
 * @param slotsPerDomain number of quota slots of each failure domain, at least 1
 * @param storeLoadsAtOnce loads from the weight store that may run at once
 * @param storeLoadsPerSecond loads from the weight store that may start each second
 * @param adapterLoadsAtOnce adapter loads that may run at once over all endpoints
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
