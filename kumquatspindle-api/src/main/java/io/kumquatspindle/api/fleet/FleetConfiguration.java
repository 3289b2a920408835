package io.kumquatspindle.api.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One version of the configuration, whole and immutable. */
public final class FleetConfiguration {
  private final long version;
  private final Map<String, List<RouteSpec>> routesByHost;
  private final Map<String, ServiceInfo> services;
  private final Map<String, CustomerInfo> customers;
  private final Map<String, CustomerInfo> customersByKey;
  private final CallerLimits limits;

  /**
   * Creates a version.
   *
   * @param version version number, grows
   * @param routes all routes
   * @param services all services
   * @param customers all customers; if there are none, no key is needed
   * @param limits what callers may send
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
   * Returns the route of a request: the one with the longest prefix that begins the path.
   *
   * @param host host in lower case, without a port
   * @param path path without query
   * @return the route, if there is one
   */
  public Optional<RouteSpec> route(String host, String path) {
    return routesByHost.getOrDefault(host, List.of()).stream()
        .filter(r -> path.startsWith(r.prefix()))
        .findFirst();
  }

  /**
   * Returns the customer that holds a key.
   *
   * @param key the key
   * @return the customer, if the key is valid
   */
  public Optional<CustomerInfo> customerOfKey(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /**
   * Returns a service.
   *
   * @param name name of the service
   * @return the service, if it is named
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
   * Tells whether requests need a key unless their route is open.
   *
   * @return whether they do
   */
  public boolean needsKeys() {
    return !customers.isEmpty();
  }

  public long version() {
    return version;
  }

  public CallerLimits limits() {
    return limits;
  }
}
