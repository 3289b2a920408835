package io.kumquatspindle.api.fleet;

import java.util.Set;

/**
 * A model that is loaded on an endpoint.
 *
 * @param name name of the model
 * @param adapters names of its adapters that are loaded on the endpoint
 */
public record LoadedModel(String name, Set<String> adapters) {

  /** Copies the set. */
  public LoadedModel {
    adapters = Set.copyOf(adapters);
  }
}
