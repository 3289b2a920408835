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
import io.kumquatspindle.api.model.EndpointName;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks references between objects in the configuration that a ticket leads to. The configuration
 * before the ticket has no dangling references, so any found here is due to the ticket, which may
 * also have removed the object referred to.
 */
final class ReferenceChecks {
  private final Configuration after;
  private final Ticket ticket;
  private final Removals removals;
  private final ValidationErrors errors = new ValidationErrors();

  ReferenceChecks(Configuration after, Ticket ticket) {
    this.after = after;
    this.ticket = ticket;
    this.removals = ticket.remove();
  }

  /** Returns the errors, sorted because the iteration order of maps differs between processes. */
  List<String> check() {
    after.adapters().values().forEach(this::checkAdapter);
    after.customers().values().forEach(this::checkCustomer);
    after.keys().values().forEach(this::checkKey);
    after.endpoints().values().forEach(this::checkFailureDomain);
    after.services().values().forEach(this::checkService);
    after.openRoutes().values().forEach(this::checkOpenRoute);
    if (!ticket.endpoints().isEmpty()) {
      checkAddresses();
    }
    checkMemoryFits();
    return errors.messages().stream().sorted().toList();
  }

  private void checkAdapter(AdapterSpec a) {
    String object = "adapter " + a.name();
    checkReference(object, "model", "model", a.model(), after.models(), removals.models());
    if (after.models().containsKey(a.name())) {
      errors.add(object, "name is also the name of a model");
    }
  }

  private void checkCustomer(CustomerSpec c) {
    String object = "customer " + c.name();
    c.artifacts().stream()
        .filter(n -> !after.hasArtifact(n))
        .forEach(
            n -> {
              boolean removed = removals.models().contains(n) || removals.adapters().contains(n);
              errors.add(object, "artifacts names " + n + ", which " + absenceReason(removed));
            });
    c.services()
        .forEach(
            n ->
                checkReference(
                    object, "services", "service", n, after.services(), removals.services()));
  }

  private void checkKey(KeySpec k) {
    String object = "key " + k.hash();
    checkReference(
        object, "customer", "customer", k.customer(), after.customers(), removals.customers());
  }

  private void checkFailureDomain(EndpointSpec e) {
    if (e.failureDomain() != null && !after.limits().failureDomains().contains(e.failureDomain())) {
      errors.add(
          "endpoint " + e.name(),
          "failureDomain " + e.failureDomain() + " is not in limits.failureDomains");
    }
  }

  private void checkService(ServiceSpec s) {
    String object = "service " + s.name();
    for (EndpointName n : s.endpoints()) {
      checkReference(object, "endpoints", "endpoint", n, after.endpoints(), removals.endpoints());
      EndpointSpec e = after.endpoints().get(n);
      if (e != null && e.kind() != EndpointSpec.Kind.SERVICE) {
        errors.add(object, "endpoints names endpoint " + n + ", which is not of kind SERVICE");
      }
    }
  }

  private void checkOpenRoute(OpenRoute r) {
    String object = "open route " + r.path();
    checkReference(
        object, "service", "service", r.service(), after.services(), removals.services());
  }

  private <K> void checkReference(
      String object, String field, String kind, K name, Map<K, ?> existing, Collection<K> removed) {
    if (name != null && !existing.containsKey(name)) {
      errors.add(
          object,
          field
              + " names "
              + kind
              + " "
              + name
              + ", which "
              + absenceReason(removed.contains(name)));
    }
  }

  private static String absenceReason(boolean removed) {
    return removed ? "this ticket removes" : "does not exist";
  }

  // Two endpoints with the same address would count the same accelerator memory twice.
  private void checkAddresses() {
    Map<String, EndpointName> owners = new HashMap<>();
    after.endpoints().values().stream()
        .sorted(Comparator.comparing(EndpointSpec::name))
        .filter(e -> e.url() != null && EndpointUrl.validationError(e.url()).isEmpty())
        .forEach(
            e -> {
              EndpointName other =
                  owners.putIfAbsent(EndpointUrl.normalizedAuthority(e.url()), e.name());
              if (other != null) {
                errors.add("endpoint " + e.name(), "url has the same address as endpoint " + other);
              }
            });
  }

  // Checks only models and adapters that the ticket defines, so that a failed endpoint can be
  // removed
  // even if it was the only one large enough for some model.
  private void checkMemoryFits() {
    long largest =
        after.endpoints().values().stream()
            .filter(e -> e.kind() == EndpointSpec.Kind.ENGINE)
            .mapToLong(EndpointSpec::memoryMb)
            .max()
            .orElse(0);
    for (ModelSpec m : ticket.models()) {
      if (m.memoryMb() > largest) {
        errors.add("model " + m.name(), "memoryMb " + m.memoryMb() + " fits on no engine endpoint");
      }
    }
    for (AdapterSpec a : ticket.adapters()) {
      checkMemoryFits(a, largest);
    }
  }

  private void checkMemoryFits(AdapterSpec a, long largest) {
    ModelSpec model = a.model() == null ? null : after.models().get(a.model());
    if (model != null && a.memoryMb() > largest - model.memoryMb()) {
      errors.add(
          "adapter " + a.name(),
          "memoryMb " + a.memoryMb() + " fits on no engine endpoint beside model " + model.name());
    }
  }
}
