package io.kumquatspindle.bench.tickets;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.model.ServiceName;
import io.kumquatspindle.bench.processes.TestSite;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Creates the tickets of a test site. */
public final class SiteTickets {
  /** The only customer in the first ticket. */
  public static final CustomerName CUSTOMER = CustomerName.of("customer-1");

  /** The plain service in the first ticket, which is present if the site has service endpoints. */
  public static final ServiceName SERVICE = ServiceName.of("dispatch");

  private static final String AUTHOR = "bench";
  private static final long ENGINE_MEMORY_MB = 80_000;
  private static final long TOKENS_PER_SECOND = 10_000_000;
  private static final int SLOTS_PER_DOMAIN = 4;
  private static final Limits DEFAULT_LIMITS = Limits.NONE;

  private SiteTickets() {}

  /**
   * Returns the first ticket of a site, which contains its whole configuration.
   *
   * @param site the site
   * @param key the key of the only customer
   * @param models the models
   * @return the ticket with number 1
   */
  public static Ticket initialTicket(TestSite site, String key, List<ModelSpec> models) {
    CustomerSpec customer =
        new CustomerSpec(CUSTOMER, TOKENS_PER_SECOND, TOKENS_PER_SECOND, 1, 0, Set.of(), Set.of());
    Limits limits =
        new Limits(
            site.domains(),
            SLOTS_PER_DOMAIN,
            DEFAULT_LIMITS.storeLoadsAtOnce(),
            DEFAULT_LIMITS.storeLoadsPerSecond(),
            DEFAULT_LIMITS.adapterLoadsAtOnce());
    return new Ticket(
        1,
        null,
        AUTHOR,
        "first ticket",
        models,
        List.of(),
        List.of(customer),
        List.of(new KeySpec(KeyHash.ofKey(key), CUSTOMER, false)),
        endpoints(site),
        services(site),
        List.of(),
        Optional.of(limits),
        null);
  }

  /**
   * Returns a ticket that withdraws the customer's key.
   *
   * @param number the number of the ticket
   * @param key the key to withdraw
   * @return the ticket
   */
  public static Ticket withdrawKey(long number, String key) {
    KeySpec withdrawn = new KeySpec(KeyHash.ofKey(key), CUSTOMER, true);
    return new Ticket(
        number,
        null,
        AUTHOR,
        "withdraw a key",
        null,
        null,
        null,
        List.of(withdrawn),
        null,
        null,
        null,
        null,
        null);
  }

  static List<EndpointSpec> endpoints(TestSite site) {
    List<EndpointSpec> result = new ArrayList<>();
    for (String name : site.engines()) {
      result.add(endpoint(site, name, EndpointSpec.Kind.ENGINE, ENGINE_MEMORY_MB));
    }
    for (String name : site.services()) {
      result.add(endpoint(site, name, EndpointSpec.Kind.SERVICE, 0));
    }
    return result;
  }

  private static EndpointSpec endpoint(
      TestSite site, String name, EndpointSpec.Kind kind, long memoryMb) {
    boolean fencing = kind == EndpointSpec.Kind.ENGINE;
    return new EndpointSpec(
        EndpointName.of(name),
        site.domainOfEndpoint(name),
        site.standInUrl(name).toString(),
        kind,
        memoryMb,
        fencing,
        false);
  }

  static List<ServiceSpec> services(TestSite site) {
    List<EndpointName> names = site.services().stream().map(EndpointName::of).toList();
    return names.isEmpty()
        ? List.of()
        : List.of(new ServiceSpec(SERVICE, names, false, 1, Set.of("call_id")));
  }
}
