package io.kumquatspindle.api.config;

import java.util.List;
import java.util.Optional;

/**
 * A numbered configuration change, which contains the complete new state of each changed object.
 *
 * @param number the ticket's number; it is accepted only if it follows the last accepted number
 * @param filing random identifier of this submission, by which the sender finds it in the log
 * @param author the author of the ticket
 * @param comment free-form text
 * @param models models to add or replace
 * @param adapters adapters to add or replace
 * @param customers customers to add or replace
 * @param keys keys to add or replace
 * @param endpoints endpoints to add or replace
 * @param services plain services to add or replace
 * @param openRoutes open routes to add or replace
 * @param limits new fleet-wide limits; empty if unchanged
 * @param remove names of objects to remove
 */
public record Ticket(
    long number,
    String filing,
    String author,
    String comment,
    List<ModelSpec> models,
    List<AdapterSpec> adapters,
    List<CustomerSpec> customers,
    List<KeySpec> keys,
    List<EndpointSpec> endpoints,
    List<ServiceSpec> services,
    List<OpenRoute> openRoutes,
    Optional<Limits> limits,
    Removals remove) {

  /** Copies the lists; a missing list is empty. */
  public Ticket {
    models = copy(models);
    adapters = copy(adapters);
    customers = copy(customers);
    keys = copy(keys);
    endpoints = copy(endpoints);
    services = copy(services);
    openRoutes = copy(openRoutes);
    limits = limits == null ? Optional.empty() : limits;
    remove = remove == null ? Removals.NONE : remove;
  }

  /**
   * Returns a copy of this ticket with another filing identifier.
   *
   * @param id the filing identifier
   * @return the ticket
   */
  public Ticket withFiling(String id) {
    return new Ticket(
        number,
        id,
        author,
        comment,
        models,
        adapters,
        customers,
        keys,
        endpoints,
        services,
        openRoutes,
        limits,
        remove);
  }

  private static <T> List<T> copy(List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }
}
