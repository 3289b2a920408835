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
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Checks that objects removed by a ticket exist and are not also defined by it. */
final class RemovalChecks {
  private final Configuration before;
  private final Ticket ticket;
  private final ValidationErrors errors;

  RemovalChecks(Configuration before, Ticket ticket, ValidationErrors errors) {
    this.before = before;
    this.ticket = ticket;
    this.errors = errors;
  }

  void check() {
    Removals r = ticket.remove();
    check("model", r.models(), before.models().keySet(), ticket.models(), ModelSpec::name);
    check(
        "adapter", r.adapters(), before.adapters().keySet(), ticket.adapters(), AdapterSpec::name);
    check(
        "customer",
        r.customers(),
        before.customers().keySet(),
        ticket.customers(),
        CustomerSpec::name);
    check("key", r.keys(), before.keys().keySet(), ticket.keys(), KeySpec::hash);
    check(
        "endpoint",
        r.endpoints(),
        before.endpoints().keySet(),
        ticket.endpoints(),
        EndpointSpec::name);
    check(
        "service", r.services(), before.services().keySet(), ticket.services(), ServiceSpec::name);
    check(
        "open route",
        r.openRoutes(),
        before.openRoutes().keySet(),
        ticket.openRoutes(),
        OpenRoute::path);
  }

  private <K, V> void check(
      String kind, Set<K> removed, Set<K> existing, List<V> upserts, Function<V, K> name) {
    if (removed.isEmpty()) {
      return;
    }
    Set<K> names = upserts.stream().map(name).collect(Collectors.toSet());
    for (K k : removed) {
      String object = "remove " + kind + " " + k;
      if (names.contains(k)) {
        errors.add(object, "the same ticket also defines it");
      } else if (!existing.contains(k)) {
        errors.add(object, "it does not exist");
      }
    }
  }
}
