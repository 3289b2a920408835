package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * A service: a group of interchangeable endpoints.
 *
 * @param name name of the service
 * @param engine properties of its model engines; empty for a plain service
 * @param coldPerS requests per second, from all VMs together, that an endpoint can handle while it
 *     is cold; 0 if there is no bound
 */
public record ServiceInfo(String name, Optional<EngineInfo> engine, double coldPerS) {

  /**
   * Creates a service whose endpoints have no bound while they are cold.
   *
   * @param name name of the service
   * @param engine properties of its model engines; empty for a plain service
   */
  public ServiceInfo(String name, Optional<EngineInfo> engine) {
    this(name, engine, 0);
  }
}
