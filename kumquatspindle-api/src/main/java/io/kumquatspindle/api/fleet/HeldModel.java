package io.kumquatspindle.api.fleet;

import java.util.Set;

/**
 * A model that an endpoint holds.
 *
 * @param name name of the model
 * @param adapters names of the adapters of it that the endpoint holds
 */
public record HeldModel(String name, Set<String> adapters) {

  /** Copies the set. */
  public HeldModel {
    adapters = Set.copyOf(adapters);
  }
}
