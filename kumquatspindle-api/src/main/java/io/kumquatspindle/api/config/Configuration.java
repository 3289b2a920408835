package io.kumquatspindle.api.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.model.ServiceName;
import java.util.Map;
import java.util.Optional;

/**
 * The complete configuration after one accepted ticket.
 *
 * @param number number of the last accepted ticket, 0 before the first
 * @param models models by name
 * @param adapters adapters by name
 * @param customers customers by name
 * @param keys keys by hash
 * @param endpoints endpoints by name
 * @param services plain services by name
 * @param openRoutes routes that need no key, by path
 * @param limits fleet-wide limits
 */
public record Configuration(
    long number,
    Map<ArtifactName, ModelSpec> models,
    Map<ArtifactName, AdapterSpec> adapters,
    Map<CustomerName, CustomerSpec> customers,
    Map<KeyHash, KeySpec> keys,
    Map<EndpointName, EndpointSpec> endpoints,
    Map<ServiceName, ServiceSpec> services,
    Map<String, OpenRoute> openRoutes,
    Limits limits) {

  /** The configuration before the first ticket. */
  public static final Configuration EMPTY =
      new Configuration(
          0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Limits.NONE);

  /** Copies the maps. */
  public Configuration {
    models = Map.copyOf(models);
    adapters = Map.copyOf(adapters);
    customers = Map.copyOf(customers);
    keys = Map.copyOf(keys);
    endpoints = Map.copyOf(endpoints);
    services = Map.copyOf(services);
    openRoutes = Map.copyOf(openRoutes);
  }

  /**
   * Returns the accelerator memory of one replica of a model or adapter.
   *
   * @param artifact a model or an adapter
   * @return memory in MB, or empty for an unknown artifact
   */
  @JsonIgnore
  public Optional<Long> memoryMb(ArtifactName artifact) {
    Optional<Long> model = Optional.ofNullable(models.get(artifact)).map(ModelSpec::memoryMb);
    return model.or(() -> Optional.ofNullable(adapters.get(artifact)).map(AdapterSpec::memoryMb));
  }

  /**
   * Returns the maximum number of replicas of a model or adapter.
   *
   * @param artifact a model or an adapter
   * @return the limit, or empty for an unknown artifact
   */
  @JsonIgnore
  public Optional<Integer> maxReplicas(ArtifactName artifact) {
    Optional<Integer> model = Optional.ofNullable(models.get(artifact)).map(ModelSpec::maxReplicas);
    return model.or(
        () -> Optional.ofNullable(adapters.get(artifact)).map(AdapterSpec::maxReplicas));
  }

  /**
   * Returns whether the configuration contains a model or adapter.
   *
   * @param artifact a model or an adapter
   * @return true if it does
   */
  public boolean hasArtifact(ArtifactName artifact) {
    return models.containsKey(artifact) || adapters.containsKey(artifact);
  }
}
