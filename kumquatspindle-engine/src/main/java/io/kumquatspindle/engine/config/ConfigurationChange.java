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

/** Applies a ticket to a configuration without judging it. */
final class ConfigurationChange {

  private ConfigurationChange() {}

  /** Returns the configuration after a ticket in which no name is null. */
  static Configuration apply(Configuration before, Ticket ticket) {
    Removals gone = ticket.remove();
    return new Configuration(
        ticket.number(),
        change(before.models(), gone.models(), ticket.models(), ModelSpec::name),
        change(before.adapters(), gone.adapters(), ticket.adapters(), AdapterSpec::name),
        change(before.customers(), gone.customers(), ticket.customers(), CustomerSpec::name),
        change(before.keys(), gone.keys(), ticket.keys(), KeySpec::hash),
        change(before.endpoints(), gone.endpoints(), ticket.endpoints(), EndpointSpec::name),
        change(before.services(), gone.services(), ticket.services(), ServiceSpec::name),
        change(before.openRoutes(), gone.openRoutes(), ticket.openRoutes(), OpenRoute::path),
        ticket.limits().orElse(before.limits()));
  }

  private static <K, V> Map<K, V> change(
      Map<K, V> before, Set<K> removed, List<V> put, Function<V, K> name) {
    if (removed.isEmpty() && put.isEmpty()) {
      return before;
    }
    Map<K, V> after = new HashMap<>(before);
    removed.forEach(after::remove);
    put.forEach(v -> after.put(name.apply(v), v));
    return after;
  }
}
