package io.kumquatspindle.bench.tickets;

import io.kumquatspindle.api.config.AdapterSpec;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.bench.processes.TestSite;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Generates tickets of any size for load tests. One artifact in five is a model, which is the
 * expected proportion of 920 models to 3,600 adapters. The adapters are assigned to the models
 * round-robin.
 */
public final class LargeTickets {
  private static final int ARTIFACTS_PER_MODEL = 5;
  private static final long MODEL_MB = 100;
  private static final long ADAPTER_MB = 10;
  private static final int CUSTOMERS = 5;
  private static final long TOKENS_PER_SECOND = 1_000_000;
  private static final int SLOTS_PER_DOMAIN = 16;

  private LargeTickets() {}

  /**
   * Returns the first ticket of a site, which contains its whole configuration.
   *
   * @param site the site, whose failure domains and endpoints are configured
   * @param artifacts the total number of models and adapters
   * @return the ticket with number 1
   */
  public static Ticket initialTicket(TestSite site, int artifacts) {
    return initialTicket(site.domains(), SiteTickets.endpoints(site), artifacts);
  }

  /**
   * Returns a first ticket, which contains a whole configuration.
   *
   * @param domains the failure domains
   * @param endpoints the endpoints
   * @param artifacts the total number of models and adapters
   * @return the ticket with number 1
   */
  public static Ticket initialTicket(
      List<FailureDomain> domains, List<EndpointSpec> endpoints, int artifacts) {
    Limits defaults = Limits.NONE;
    Limits limits =
        new Limits(
            domains,
            SLOTS_PER_DOMAIN,
            defaults.storeLoadsAtOnce(),
            defaults.storeLoadsPerSecond(),
            defaults.adapterLoadsAtOnce());
    int models = modelCount(artifacts);
    return new Ticket(
        1,
        "bench-1",
        "bench",
        "first ticket",
        IntStream.range(0, models).mapToObj(LargeTickets::model).toList(),
        IntStream.range(0, artifacts - models).mapToObj(i -> adapter(i, models, 1)).toList(),
        IntStream.range(0, CUSTOMERS).mapToObj(LargeTickets::customer).toList(),
        null,
        endpoints,
        null,
        null,
        Optional.of(limits),
        null);
  }

  /**
   * Returns a ticket that changes the replica limit of one adapter.
   *
   * @param number the number of the ticket
   * @param artifacts the total number of models and adapters of the first ticket
   * @return the ticket
   */
  public static Ticket adapterChange(long number, int artifacts) {
    int models = modelCount(artifacts);
    int changed = (int) (number % Math.max(1, artifacts - models));
    int replicas = 1 + (int) (number % 2);
    return new Ticket(
        number,
        "bench-" + number,
        "bench",
        "change an adapter",
        null,
        List.of(adapter(changed, models, replicas)),
        null,
        null,
        null,
        null,
        null,
        null,
        null);
  }

  /**
   * Returns how many of the artifacts are models.
   *
   * @param artifacts the total number of models and adapters
   * @return the number of models
   */
  public static int modelCount(int artifacts) {
    return Math.max(1, artifacts / ARTIFACTS_PER_MODEL);
  }

  /**
   * Returns the name of a model.
   *
   * @param index the index of the model, starting at 0
   * @return the name
   */
  public static ArtifactName modelName(int index) {
    return ArtifactName.of("model-" + index);
  }

  private static ModelSpec model(int index) {
    return new ModelSpec(modelName(index), MODEL_MB, 1);
  }

  private static AdapterSpec adapter(int index, int models, int replicas) {
    ArtifactName name = ArtifactName.of("adapter-" + index);
    return new AdapterSpec(name, modelName(index % models), ADAPTER_MB, replicas);
  }

  private static CustomerSpec customer(int index) {
    String name = index == 0 ? SiteTickets.CUSTOMER.value() : "customer-" + (index + 1);
    return new CustomerSpec(
        CustomerName.of(name), TOKENS_PER_SECOND, TOKENS_PER_SECOND, 1, 0, Set.of(), Set.of());
  }
}
