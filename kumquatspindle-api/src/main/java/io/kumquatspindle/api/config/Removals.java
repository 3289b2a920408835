package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.model.ServiceName;
import java.util.Set;

/**
 * Names of the objects that a ticket removes.
 *
 * @param models models to remove
 * @param adapters adapters to remove
 * @param customers customers to remove
 * @param keys keys to remove
 * @param endpoints endpoints to remove
 * @param services plain services to remove
 * @param openRoutes paths of open routes to remove
 */
public record Removals(
    Set<ArtifactName> models,
    Set<ArtifactName> adapters,
    Set<CustomerName> customers,
    Set<KeyHash> keys,
    Set<EndpointName> endpoints,
    Set<ServiceName> services,
    Set<String> openRoutes) {

  /** Removals without any object. */
  public static final Removals NONE = new Removals(null, null, null, null, null, null, null);

  /** Copies the sets; a missing set is empty. */
  public Removals {
    models = copy(models);
    adapters = copy(adapters);
    customers = copy(customers);
    keys = copy(keys);
    endpoints = copy(endpoints);
    services = copy(services);
    openRoutes = copy(openRoutes);
  }

  private static <T> Set<T> copy(Set<T> set) {
    return set == null ? Set.of() : Set.copyOf(set);
  }
}
