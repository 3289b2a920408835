package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.ServiceName;
import java.util.Set;

/**
 * A customer, with its fleet-wide rate and burst.
 *
 * @param name the customer's name
 * @param tokensPerSecond rate over all VMs together, in tokens a second
 * @param burstTokens burst over all VMs together, in tokens
 * @param weight due share when endpoints are short, relative to other customers, at least 1
 * @param offlineGraceSeconds how long a VM that has no recent confirmation serves the customer's
 *     keys, in seconds
 * @param artifacts the models and adapters that the customer may use; empty means all
 * @param services the plain services that the customer may call; empty means all
 */
public record CustomerSpec(
    CustomerName name,
    long tokensPerSecond,
    long burstTokens,
    int weight,
    int offlineGraceSeconds,
    Set<ArtifactName> artifacts,
    Set<ServiceName> services) {

  /** Grace time for keys when a ticket gives none, in seconds. */
  public static final int DEFAULT_OFFLINE_GRACE_SECONDS = 900;

  /** Applies defaults to fields that a ticket left out. */
  public CustomerSpec {
    weight = weight == 0 ? 1 : weight;
    offlineGraceSeconds =
        offlineGraceSeconds == 0 ? DEFAULT_OFFLINE_GRACE_SECONDS : offlineGraceSeconds;
    artifacts = artifacts == null ? Set.of() : Set.copyOf(artifacts);
    services = services == null ? Set.of() : Set.copyOf(services);
  }

  /**
   * Tells whether the customer may use a model or adapter.
   *
   * @param artifact the model or adapter
   * @return whether it may
   */
  public boolean mayUse(ArtifactName artifact) {
    return artifacts.isEmpty() || artifacts.contains(artifact);
  }

  /**
   * Tells whether the customer may call a plain service.
   *
   * @param service the service
   * @return whether it may
   */
  public boolean mayCall(ServiceName service) {
    return services.isEmpty() || services.contains(service);
  }
}
