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

/** Checks the values of each object of a ticket, and that no name occurs twice. */
final class ValueChecks {
  /** Small enough that sums over all objects of the fleet cannot overflow. */
  private static final long MAX_MEMORY_MB = 1_000_000_000L;

  /** Small enough that rate times milliseconds fits in a long for several days. */
  private static final long MAX_TOKENS = 1_000_000_000L;

  private static final int MAX_REPLICAS = 100_000;
  private static final int MAX_WEIGHT = 10_000;
  private static final int MAX_GRACE_SECONDS = 7 * 24 * 3600;
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_LOADS = 100_000;
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_COMMENT_LENGTH = 10_000;

  private final Ticket ticket;
  private final ValidationErrors errors;
  private boolean allNamed = true;

  ValueChecks(Ticket ticket, ValidationErrors errors) {
    this.ticket = ticket;
    this.errors = errors;
  }

  /** Adds all errors; returns whether every object has its name. */
  boolean check() {
    checkText("filing", ticket.filing());
    checkText("author", ticket.author());
    if (ticket.comment() != null && ticket.comment().length() > MAX_COMMENT_LENGTH) {
      errors.add("ticket", "comment is longer than " + MAX_COMMENT_LENGTH + " characters");
    }
    checkEach("model", "name", ticket.models(), ModelSpec::name, this::checkModel);
    checkEach("adapter", "name", ticket.adapters(), AdapterSpec::name, this::checkAdapter);
    checkEach("customer", "name", ticket.customers(), CustomerSpec::name, this::checkCustomer);
    checkEach("key", "hash", ticket.keys(), KeySpec::hash, this::checkKey);
    checkEach("endpoint", "name", ticket.endpoints(), EndpointSpec::name, this::checkEndpoint);
    checkEach("service", "name", ticket.services(), ServiceSpec::name, this::checkService);
    checkEach("open route", "path", ticket.openRoutes(), OpenRoute::path, this::checkOpenRoute);
    ticket.limits().ifPresent(this::checkLimits);
    return allNamed;
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
      if (!errors.checkPresent(object, field, n)) {
        allNamed = false;
      } else if (!seen.add(n)) {
        errors.add(object, field + " appears more than once in the ticket");
      }
      check.check(object, spec);
    }
  }

  private void checkText(String field, String value) {
    if (value == null || value.isBlank()) {
      errors.add("ticket", field + " is missing");
    } else if (value.length() > MAX_NAME_LENGTH) {
      errors.add("ticket", field + " is longer than " + MAX_NAME_LENGTH + " characters");
    }
  }

  private void checkModel(String object, ModelSpec m) {
    errors.checkRange(object, "memoryMb", m.memoryMb(), 1, MAX_MEMORY_MB);
    errors.checkRange(object, "maxReplicas", m.maxReplicas(), 1, MAX_REPLICAS);
  }

  private void checkAdapter(String object, AdapterSpec a) {
    errors.checkPresent(object, "model", a.model());
    errors.checkRange(object, "memoryMb", a.memoryMb(), 1, MAX_MEMORY_MB);
    errors.checkRange(object, "maxReplicas", a.maxReplicas(), 1, MAX_REPLICAS);
  }

  private void checkCustomer(String object, CustomerSpec c) {
    errors.checkRange(object, "tokensPerSecond", c.tokensPerSecond(), 1, MAX_TOKENS);
    errors.checkRange(object, "burstTokens", c.burstTokens(), 1, MAX_TOKENS);
    errors.checkRange(object, "weight", c.weight(), 1, MAX_WEIGHT);
    errors.checkRange(object, "offlineGraceSeconds", c.offlineGraceSeconds(), 1, MAX_GRACE_SECONDS);
  }

  private void checkKey(String object, KeySpec k) {
    errors.checkPresent(object, "customer", k.customer());
  }

  private void checkEndpoint(String object, EndpointSpec e) {
    errors.checkPresent(object, "failureDomain", e.failureDomain());
    if (errors.checkPresent(object, "url", e.url())) {
      EndpointUrl.validationError(e.url()).ifPresent(f -> errors.add(object, "url " + f));
    }
    if (!errors.checkPresent(object, "kind", e.kind())) {
      return;
    }
    if (e.kind() == EndpointSpec.Kind.ENGINE) {
      errors.checkRange(object, "memoryMb", e.memoryMb(), 1, MAX_MEMORY_MB);
    } else if (e.memoryMb() != 0) {
      errors.add(object, "memoryMb must be 0 for a plain service but is " + e.memoryMb());
    }
  }

  private void checkService(String object, ServiceSpec s) {
    if (s.endpoints().isEmpty()) {
      errors.add(object, "endpoints is empty");
    }
    if (new HashSet<>(s.endpoints()).size() != s.endpoints().size()) {
      errors.add(object, "endpoints names an endpoint more than once");
    }
    errors.checkRange(object, "tokensPerCall", s.tokensPerCall(), 0, MAX_TOKENS);
    if (s.queryParameters().stream().anyMatch(String::isBlank)) {
      errors.add(object, "queryParameters has a blank name");
    }
  }

  private void checkOpenRoute(String object, OpenRoute r) {
    if (r.path() != null) {
      RoutePath.validationError(r.path()).ifPresent(f -> errors.add(object, "path " + f));
      RoutePath.reservedPathError(r.path()).ifPresent(f -> errors.add(object, "path " + f));
    }
    errors.checkPresent(object, "service", r.service());
    if (errors.checkPresent(object, "servicePath", r.servicePath())) {
      RoutePath.validationError(r.servicePath())
          .ifPresent(f -> errors.add(object, "servicePath " + f));
    }
  }

  private void checkLimits(Limits l) {
    if (l.failureDomains().isEmpty()) {
      errors.add("limits", "failureDomains is empty");
    }
    if (new HashSet<>(l.failureDomains()).size() != l.failureDomains().size()) {
      errors.add("limits", "failureDomains names a failure domain more than once");
    }
    errors.checkRange("limits", "slotsPerDomain", l.slotsPerDomain(), 1, MAX_SLOTS);
    errors.checkRange("limits", "storeLoadsAtOnce", l.storeLoadsAtOnce(), 1, MAX_LOADS);
    errors.checkRange("limits", "adapterLoadsAtOnce", l.adapterLoadsAtOnce(), 1, MAX_LOADS);
    double rate = l.storeLoadsPerSecond();
    // Negated, so that NaN, for which every comparison is false, is rejected too.
    if (!(rate > 0 && rate <= MAX_LOADS)) {
      errors.add(
          "limits",
          "storeLoadsPerSecond must be above 0 and at most " + MAX_LOADS + " but is " + rate);
    }
  }
}
