package io.kumquatspindle.bench.system;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.model.ServiceName;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.util.List;
import java.util.Set;

/** Creates the tickets that the system tests file. */
final class TestTickets {
  private static final long TOKENS = 10_000_000;

  private TestTickets() {}

  static Ticket addKey(long number, String key) {
    return setKeys(number, List.of(new KeySpec(KeyHash.ofKey(key), SiteTickets.CUSTOMER, false)));
  }

  static Ticket setKeys(long number, List<KeySpec> keys) {
    return new Ticket(
        number, null, "test", "keys", null, null, null, keys, null, null, null, null, null);
  }

  static CustomerSpec customer(
      String name, int graceSeconds, Set<ArtifactName> models, Set<ServiceName> services) {
    return new CustomerSpec(
        CustomerName.of(name), TOKENS, TOKENS, 1, graceSeconds, models, services);
  }

  static Ticket addCustomers(
      long number, List<CustomerSpec> customers, List<KeySpec> keys, List<ServiceSpec> services) {
    return new Ticket(
        number,
        null,
        "test",
        "customers",
        null,
        null,
        customers,
        keys,
        null,
        services,
        null,
        null,
        null);
  }

  static Ticket markLeaving(long number, TestSite site, String endpoint, EndpointSpec.Kind kind) {
    boolean engine = kind == EndpointSpec.Kind.ENGINE;
    EndpointSpec spec =
        new EndpointSpec(
            EndpointName.of(endpoint),
            site.domainOfEndpoint(endpoint),
            site.standInUrl(endpoint).toString(),
            kind,
            engine ? 80_000 : 0,
            engine,
            true);
    return new Ticket(
        number,
        null,
        "test",
        "leaving",
        null,
        null,
        null,
        null,
        List.of(spec),
        null,
        null,
        null,
        null);
  }
}
