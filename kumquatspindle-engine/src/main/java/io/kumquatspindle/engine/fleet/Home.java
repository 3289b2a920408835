package io.kumquatspindle.engine.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The failure domains to whose endpoints a request may be sent, by the regions that its route and
 * its customer allow. A failure domain whose region is not known is in none of them.
 *
 * @param domains names of the failure domains, or empty if all are allowed
 */
public record Home(Optional<Set<String>> domains) {
  /** The home of a request that may be sent to all failure domains. */
  public static final Home ANYWHERE = new Home(Optional.empty());

  /**
   * Returns the home of a request. Both lists bind.
   *
   * @param regions region of each failure domain
   * @param ofRoute regions that the route allows; empty: all
   * @param ofCustomer regions that the customer allows; empty: all
   * @return the home
   */
  public static Home of(Map<String, String> regions, Set<String> ofRoute, Set<String> ofCustomer) {
    if (ofRoute.isEmpty() && ofCustomer.isEmpty()) {
      return ANYWHERE;
    }
    Set<String> domains = new TreeSet<>();
    regions.forEach(
        (domain, region) -> {
          if (allows(ofRoute, region) && allows(ofCustomer, region)) {
            domains.add(domain);
          }
        });
    return new Home(Optional.of(domains));
  }

  private static boolean allows(Set<String> list, String region) {
    return list.isEmpty() || list.contains(region);
  }

  /**
   * Returns whether some failure domains are not allowed.
   *
   * @return whether the request is restricted
   */
  public boolean restricted() {
    return domains.isPresent();
  }

  /**
   * Returns whether the request may be sent to an endpoint.
   *
   * @param endpoint the endpoint
   * @return whether its failure domain is allowed
   */
  public boolean allows(Endpoint endpoint) {
    return domains.isEmpty() || domains.get().contains(endpoint.entry().domain());
  }

  /**
   * Returns the endpoints that are not allowed.
   *
   * @param endpoints all endpoints
   * @return their IDs
   */
  public Set<String> excludedIds(Collection<Endpoint> endpoints) {
    return restricted()
        ? endpoints.stream().filter(e -> !allows(e)).map(Endpoint::id).collect(Collectors.toSet())
        : Set.of();
  }

  /**
   * Returns the failure domain in which a model should be loaded. For a restricted request it is
   * the same at all VMs, so that they choose the same endpoint.
   *
   * @param ownDomain failure domain of this VM
   * @return name of the failure domain
   */
  public String loadDomain(String ownDomain) {
    return domains.flatMap(d -> d.stream().findFirst()).orElse(ownDomain);
  }
}
