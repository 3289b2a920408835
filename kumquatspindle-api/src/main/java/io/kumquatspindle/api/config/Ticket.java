package io.kumquatspindle.api.config;

import java.util.List;
import java.util.Optional;

/**
 * A numbered change ticket: the whole new state of each object that it touches.
 *
 * @param number the ticket's number; takes effect only as the successor of the last accepted one
 * @param filing random identifier of this filing, by which its author finds it again in the log
 * @param author who filed the ticket
 * @param comment free text
 * @param models models to put in place
 * @param adapters adapters to put in place
 * @param customers customers to put in place
 * @param keys keys to put in place
 * @param endpoints endpoints to put in place
 * @param services plain services to put in place
 * @param openRoutes open routes to put in place
 * @param limits new fleet-wide limits, if the ticket changes them
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
   * Returns the same ticket under another filing identifier.
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
