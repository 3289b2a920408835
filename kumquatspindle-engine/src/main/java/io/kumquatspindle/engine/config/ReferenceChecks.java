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
 * Checks references between the objects of a whole configuration. The configuration before the
 * ticket had no dangling reference, so a removal that leaves one behind is found here too.
 */
final class ReferenceChecks {
  private final Configuration after;
  private final Ticket ticket;
  private final Removals gone;
  private final Faults faults = new Faults();

  ReferenceChecks(Configuration after, Ticket ticket) {
    this.after = after;
    this.ticket = ticket;
    this.gone = ticket.remove();
  }

  /** Returns the faults, sorted because the order of maps differs between processes. */
  List<String> check() {
    after.adapters().values().forEach(this::adapter);
    after.customers().values().forEach(this::customer);
    after.keys().values().forEach(this::key);
    after.endpoints().values().forEach(this::failureDomain);
    after.services().values().forEach(this::service);
    after.openRoutes().values().forEach(this::openRoute);
    if (!ticket.endpoints().isEmpty()) {
      checkAddresses();
    }
    checkFit();
    return faults.sentences().stream().sorted().toList();
  }

  private void adapter(AdapterSpec a) {
    String object = "adapter " + a.name();
    refer(object, "model", "model", a.model(), after.models(), gone.models());
    if (after.models().containsKey(a.name())) {
      faults.add(object, "name is also the name of a model");
    }
  }

  private void customer(CustomerSpec c) {
    String object = "customer " + c.name();
    c.artifacts().stream()
        .filter(n -> !after.hasArtifact(n))
        .forEach(
            n -> {
              boolean removed = gone.models().contains(n) || gone.adapters().contains(n);
              faults.add(object, "artifacts names " + n + ", which " + lacking(removed));
            });
    c.services()
        .forEach(n -> refer(object, "services", "service", n, after.services(), gone.services()));
  }

  private void key(KeySpec k) {
    String object = "key " + k.hash();
    refer(object, "customer", "customer", k.customer(), after.customers(), gone.customers());
  }

  private void failureDomain(EndpointSpec e) {
    if (e.failureDomain() != null && !after.limits().failureDomains().contains(e.failureDomain())) {
      faults.add(
          "endpoint " + e.name(),
          "failureDomain " + e.failureDomain() + " is not in limits.failureDomains");
    }
  }

  private void service(ServiceSpec s) {
    String object = "service " + s.name();
    for (EndpointName n : s.endpoints()) {
      refer(object, "endpoints", "endpoint", n, after.endpoints(), gone.endpoints());
      EndpointSpec e = after.endpoints().get(n);
      if (e != null && e.kind() != EndpointSpec.Kind.SERVICE) {
        faults.add(object, "endpoints names endpoint " + n + ", which is not of kind SERVICE");
      }
    }
  }

  private void openRoute(OpenRoute r) {
    String object = "open route " + r.path();
    refer(object, "service", "service", r.service(), after.services(), gone.services());
  }

  private <K> void refer(
      String object, String field, String kind, K name, Map<K, ?> all, Collection<K> removed) {
    if (name != null && !all.containsKey(name)) {
      faults.add(
          object,
          field + " names " + kind + " " + name + ", which " + lacking(removed.contains(name)));
    }
  }

  private static String lacking(boolean removed) {
    return removed ? "this ticket removes" : "does not exist";
  }

  // Two endpoints with one address would count the same accelerator memory twice.
  private void checkAddresses() {
    Map<String, EndpointName> owners = new HashMap<>();
    after.endpoints().values().stream()
        .sorted(Comparator.comparing(EndpointSpec::name))
        .filter(e -> e.url() != null && EndpointUrl.fault(e.url()).isEmpty())
        .forEach(
            e -> {
              EndpointName other = owners.putIfAbsent(EndpointUrl.address(e.url()), e.name());
              if (other != null) {
                faults.add("endpoint " + e.name(), "url has the same address as endpoint " + other);
              }
            });
  }

  // Only what the ticket puts in place is checked, so that a failed endpoint can be removed even if
  // it was the only one that was large enough for some model.
  private void checkFit() {
    long largest =
        after.endpoints().values().stream()
            .filter(e -> e.kind() == EndpointSpec.Kind.ENGINE)
            .mapToLong(EndpointSpec::memoryMb)
            .max()
            .orElse(0);
    for (ModelSpec m : ticket.models()) {
      if (m.memoryMb() > largest) {
        faults.add("model " + m.name(), "memoryMb " + m.memoryMb() + " fits on no engine endpoint");
      }
    }
    for (AdapterSpec a : ticket.adapters()) {
      checkFit(a, largest);
    }
  }

  private void checkFit(AdapterSpec a, long largest) {
    ModelSpec model = a.model() == null ? null : after.models().get(a.model());
    if (model != null && a.memoryMb() > largest - model.memoryMb()) {
      faults.add(
          "adapter " + a.name(),
          "memoryMb " + a.memoryMb() + " fits on no engine endpoint beside model " + model.name());
    }
  }
}
