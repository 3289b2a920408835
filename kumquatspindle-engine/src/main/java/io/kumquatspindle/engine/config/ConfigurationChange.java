package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.AdapterSpec;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.OpenRoute;
import io.kumquatspindle.api.config.Removals;
import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.config.Ticket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Applies a ticket to a configuration without validating it. */
final class ConfigurationChange {

  private ConfigurationChange() {}

  /** Returns the configuration with the ticket applied; no name in the ticket may be null. */
  static Configuration apply(Configuration before, Ticket ticket) {
    Removals removals = ticket.remove();
    return new Configuration(
        ticket.number(),
        merge(before.models(), removals.models(), ticket.models(), ModelSpec::name),
        merge(before.adapters(), removals.adapters(), ticket.adapters(), AdapterSpec::name),
        merge(before.customers(), removals.customers(), ticket.customers(), CustomerSpec::name),
        merge(before.keys(), removals.keys(), ticket.keys(), KeySpec::hash),
        merge(before.endpoints(), removals.endpoints(), ticket.endpoints(), EndpointSpec::name),
        merge(before.services(), removals.services(), ticket.services(), ServiceSpec::name),
        merge(before.openRoutes(), removals.openRoutes(), ticket.openRoutes(), OpenRoute::path),
        ticket.limits().orElse(before.limits()));
  }

  private static <K, V> Map<K, V> merge(
      Map<K, V> before, Set<K> removed, List<V> upserts, Function<V, K> name) {
    if (removed.isEmpty() && upserts.isEmpty()) {
      return before;
    }
    Map<K, V> after = new HashMap<>(before);
    removed.forEach(after::remove);
    upserts.forEach(v -> after.put(name.apply(v), v));
    return after;
  }
}
