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
 * Builds tickets of any size. One artifact in five is a model, the others are adapters of the
 * models in turn, which is the relation of 920 models to 3,600 adapters.
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
   * Returns the ticket that puts a whole site in place.
   *
   * @param site the site, whose endpoints are put in place
   * @param artifacts number of models and adapters together
   * @return ticket number 1
   */
  public static Ticket first(TestSite site, int artifacts) {
    return first(site.domains(), SiteTickets.endpoints(site), artifacts);
  }

  /**
   * Returns the ticket that puts a whole configuration in place.
   *
   * @param domains the failure domains
   * @param endpoints the endpoints
   * @param artifacts number of models and adapters together
   * @return ticket number 1
   */
  public static Ticket first(
      List<FailureDomain> domains, List<EndpointSpec> endpoints, int artifacts) {
    Limits s = Limits.NONE;
    Limits limits =
        new Limits(
            domains,
            SLOTS_PER_DOMAIN,
            s.storeLoadsAtOnce(),
            s.storeLoadsPerSecond(),
            s.adapterLoadsAtOnce());
    int models = models(artifacts);
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
   * Returns a ticket that changes one adapter.
   *
   * @param number the ticket's number
   * @param artifacts number of models and adapters of the first ticket
   * @return the ticket
   */
  public static Ticket change(long number, int artifacts) {
    int models = models(artifacts);
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
   * Returns how many of a number of artifacts are models.
   *
   * @param artifacts models and adapters together
   * @return number of models
   */
  public static int models(int artifacts) {
    return Math.max(1, artifacts / ARTIFACTS_PER_MODEL);
  }

  /**
   * Returns the name of a model.
   *
   * @param index 0 or more
   * @return its name
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
