package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.AdapterSpec;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.OpenRoute;
import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.config.Ticket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Checks each object of a ticket by itself, and that each is there once. */
final class ValueChecks {
  /** Keeps sums over all objects of the fleet far from overflow. */
  private static final long MAX_MEMORY_MB = 1_000_000_000L;

  /** Keeps rate times milliseconds within a long for several days. */
  private static final long MAX_TOKENS = 1_000_000_000L;

  private static final int MAX_REPLICAS = 100_000;
  private static final int MAX_WEIGHT = 10_000;
  private static final int MAX_GRACE_SECONDS = 7 * 24 * 3600;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_LOADS = 100_000;
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_COMMENT_LENGTH = 10_000;

  private final Ticket ticket;
  private final Faults faults;
  private boolean named = true;

  ValueChecks(Ticket ticket, Faults faults) {
    this.ticket = ticket;
    this.faults = faults;
  }

  /** Notes all faults and tells whether every object has its name. */
  boolean check() {
    checkText("filing", ticket.filing());
    checkText("author", ticket.author());
    if (ticket.comment() != null && ticket.comment().length() > MAX_COMMENT_LENGTH) {
      faults.add("ticket", "comment is longer than " + MAX_COMMENT_LENGTH + " characters");
    }
    checkEach("model", "name", ticket.models(), ModelSpec::name, this::model);
    checkEach("adapter", "name", ticket.adapters(), AdapterSpec::name, this::adapter);
    checkEach("customer", "name", ticket.customers(), CustomerSpec::name, this::customer);
    checkEach("key", "hash", ticket.keys(), KeySpec::hash, this::key);
    checkEach("endpoint", "name", ticket.endpoints(), EndpointSpec::name, this::endpoint);
    checkEach("service", "name", ticket.services(), ServiceSpec::name, this::service);
    checkEach("open route", "path", ticket.openRoutes(), OpenRoute::path, this::openRoute);
    ticket.limits().ifPresent(this::limits);
    return named;
  }

  private interface Check<T> {
    void check(String object, T spec);
  }

  private <T> void checkEach(
      String kind, String field, List<T> specs, Function<T, Object> name, Check<T> check) {
    Set<Object> seen = new HashSet<>();
    for (int i = 0; i < specs.size(); i++) {
      T spec = specs.get(i);
      Object n = name.apply(spec);
      String object = n == null ? kind + " at position " + i : kind + " " + n;
      if (!faults.present(object, field, n)) {
        named = false;
      } else if (!seen.add(n)) {
        faults.add(object, field + " appears more than once in the ticket");
      }
      check.check(object, spec);
    }
  }

  private void checkText(String field, String value) {
    if (value == null || value.isBlank()) {
      faults.add("ticket", field + " is missing");
    } else if (value.length() > MAX_NAME_LENGTH) {
      faults.add("ticket", field + " is longer than " + MAX_NAME_LENGTH + " characters");
    }
  }

  private void model(String object, ModelSpec m) {
    faults.range(object, "memoryMb", m.memoryMb(), 1, MAX_MEMORY_MB);
    faults.range(object, "maxReplicas", m.maxReplicas(), 1, MAX_REPLICAS);
  }

  private void adapter(String object, AdapterSpec a) {
    faults.present(object, "model", a.model());
    faults.range(object, "memoryMb", a.memoryMb(), 1, MAX_MEMORY_MB);
    faults.range(object, "maxReplicas", a.maxReplicas(), 1, MAX_REPLICAS);
  }

  private void customer(String object, CustomerSpec c) {
    faults.range(object, "tokensPerSecond", c.tokensPerSecond(), 1, MAX_TOKENS);
    faults.range(object, "burstTokens", c.burstTokens(), 1, MAX_TOKENS);
    faults.range(object, "weight", c.weight(), 1, MAX_WEIGHT);
    faults.range(object, "offlineGraceSeconds", c.offlineGraceSeconds(), 1, MAX_GRACE_SECONDS);
  }

  private void key(String object, KeySpec k) {
    faults.present(object, "customer", k.customer());
  }

  private void endpoint(String object, EndpointSpec e) {
    faults.present(object, "failureDomain", e.failureDomain());
    if (faults.present(object, "url", e.url())) {
      EndpointUrl.fault(e.url()).ifPresent(f -> faults.add(object, "url " + f));
    }
    if (!faults.present(object, "kind", e.kind())) {
      return;
    }
    if (e.kind() == EndpointSpec.Kind.ENGINE) {
      faults.range(object, "memoryMb", e.memoryMb(), 1, MAX_MEMORY_MB);
    } else if (e.memoryMb() != 0) {
      faults.add(object, "memoryMb must be 0 for a plain service but is " + e.memoryMb());
    }
  }

  private void service(String object, ServiceSpec s) {
    if (s.endpoints().isEmpty()) {
      faults.add(object, "endpoints is empty");
    }
    if (new HashSet<>(s.endpoints()).size() != s.endpoints().size()) {
      faults.add(object, "endpoints names an endpoint more than once");
    }
    faults.range(object, "tokensPerCall", s.tokensPerCall(), 0, MAX_TOKENS);
    if (s.queryParameters().stream().anyMatch(String::isBlank)) {
      faults.add(object, "queryParameters has a blank name");
    }
  }

  private void openRoute(String object, OpenRoute r) {
    if (r.path() != null) {
      RoutePath.fault(r.path()).ifPresent(f -> faults.add(object, "path " + f));
      RoutePath.collision(r.path()).ifPresent(f -> faults.add(object, "path " + f));
    }
    faults.present(object, "service", r.service());
    if (faults.present(object, "servicePath", r.servicePath())) {
      RoutePath.fault(r.servicePath()).ifPresent(f -> faults.add(object, "servicePath " + f));
    }
  }

  private void limits(Limits l) {
    if (l.failureDomains().isEmpty()) {
      faults.add("limits", "failureDomains is empty");
    }
    if (new HashSet<>(l.failureDomains()).size() != l.failureDomains().size()) {
      faults.add("limits", "failureDomains names a failure domain more than once");
    }
    faults.range("limits", "slotsPerDomain", l.slotsPerDomain(), 1, MAX_SLOTS);
    faults.range("limits", "storeLoadsAtOnce", l.storeLoadsAtOnce(), 1, MAX_LOADS);
    faults.range("limits", "adapterLoadsAtOnce", l.adapterLoadsAtOnce(), 1, MAX_LOADS);
    double rate = l.storeLoadsPerSecond();
    // The negated form also refuses NaN, which compares as false.
    if (!(rate > 0 && rate <= MAX_LOADS)) {
      faults.add(
          "limits",
          "storeLoadsPerSecond must be above 0 and at most " + MAX_LOADS + " but is " + rate);
    }
  }
}
