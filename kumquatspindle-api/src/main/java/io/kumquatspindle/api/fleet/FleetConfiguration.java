package io.kumquatspindle.api.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An immutable version of the complete configuration. */
public final class FleetConfiguration {
  private final long version;
  private final Map<String, List<RouteSpec>> routesByHost;
  private final Map<String, ServiceInfo> services;
  private final Map<String, CustomerInfo> customers;
  private final Map<String, CustomerInfo> customersByKey;
  private final CallerLimits limits;

  /**
   * Creates a version of the configuration.
   *
   * @param version version number; later versions have higher numbers
   * @param routes all routes
   * @param services all services
   * @param customers all customers; if there are none, requests need no key
   * @param limits limits for caller requests
   */
  public FleetConfiguration(
      long version,
      Collection<RouteSpec> routes,
      Collection<ServiceInfo> services,
      Collection<CustomerInfo> customers,
      CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    Map<String, List<RouteSpec>> byHost = new HashMap<>();
    routes.stream()
        .sorted(Comparator.comparingInt((RouteSpec r) -> r.prefix().length()).reversed())
        .forEach(r -> byHost.computeIfAbsent(r.host(), h -> new java.util.ArrayList<>()).add(r));
    this.routesByHost = byHost;
    this.services = new HashMap<>();
    services.forEach(s -> this.services.put(s.name(), s));
    this.customers = new HashMap<>();
    this.customersByKey = new HashMap<>();
    for (CustomerInfo c : customers) {
      this.customers.put(c.name(), c);
      c.keys().forEach(k -> customersByKey.put(k, c));
    }
  }

  /**
   * Returns the route of a request: the one with the longest matching path prefix.
   *
   * @param host host in lower case, without a port
   * @param path path without query
   * @return the route, or empty if none matches
   */
  public Optional<RouteSpec> route(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(r -> path.startsWith(r.prefix()))
        .findFirst();
  }

  /**
   * Returns the customer to which a key belongs.
   *
   * @param key the API key
   * @return the customer, or empty if the key is not valid
   */
  public Optional<CustomerInfo> customerOfKey(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /**
   * Returns the service with the given name.
   *
   * @param name name of the service
   * @return the service, or empty if it does not exist
   */
  public Optional<ServiceInfo> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  public Collection<ServiceInfo> services() {
    return services.values();
  }

  public Collection<CustomerInfo> customers() {
    return customers.values();
  }

  /**
   * Returns whether requests need a key, except on open routes.
   *
   * @return true if they do
   */
  public boolean requiresKeys() {
    return !customers.isEmpty();
  }

  public long version() {
    return version;
  }

  public CallerLimits limits() {
    return limits;
  }
}
