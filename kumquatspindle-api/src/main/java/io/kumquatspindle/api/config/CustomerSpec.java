package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.ServiceName;
import java.util.Set;

/**
 * A customer, with its fleet-wide rate limit.
 *
 * @param name the customer's name
 * @param tokensPerSecond rate limit across all VMs, in tokens per second
 * @param burstTokens burst limit across all VMs, in tokens
 * @param weight fair-share weight when endpoint capacity is scarce, at least 1
 * @param offlineGraceSeconds how long a VM continues to accept the customer's keys without
 *     confirmation that its configuration is current, in seconds
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

  /** Default of {@code offlineGraceSeconds}. */
  public static final int DEFAULT_OFFLINE_GRACE_SECONDS = 900;

  /** Applies defaults to fields that are missing from the ticket. */
  public CustomerSpec {
    weight = weight == 0 ? 1 : weight;
    offlineGraceSeconds =
        offlineGraceSeconds == 0 ? DEFAULT_OFFLINE_GRACE_SECONDS : offlineGraceSeconds;
    artifacts = artifacts == null ? Set.of() : Set.copyOf(artifacts);
    services = services == null ? Set.of() : Set.copyOf(services);
  }

  /**
   * Returns whether the customer may use a model or adapter.
   *
   * @param artifact the model or adapter
   * @return true if it may
   */
  public boolean mayUse(ArtifactName artifact) {
    return artifacts.isEmpty() || artifacts.contains(artifact);
  }

  /**
   * Returns whether the customer may call a plain service.
   *
   * @param service the service
   * @return true if it may
   */
  public boolean mayCall(ServiceName service) {
    return services.isEmpty() || services.contains(service);
  }
}
