package io.kumquatspindle.bench.measure;

import io.kumquatspindle.api.config.AdapterSpec;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.bench.processes.TestSite;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Creates the ticket with the whole configuration of a deployment. */
final class DeploymentTickets {
  private static final int SLOTS_PER_DOMAIN = 4;
  private static final int MAX_REPLICAS = 2;
  private static final long ADAPTER_MB = 40;
  private static final int MAX_ADAPTER_LOADS = 30;

  private DeploymentTickets() {}

  static Ticket initialTicket(Deployment d, TestSite site) {
    Limits limits =
        new Limits(
            site.domains(),
            SLOTS_PER_DOMAIN,
            Deployment.MAX_STORE_TRANSFERS,
            d.storeLoadsPerMinute() / 60.0,
            MAX_ADAPTER_LOADS);
    return new Ticket(
        1,
        null,
        "measure",
        "whole deployment",
        models(d),
        adapters(d),
        customers(),
        keys(),
        engines(site),
        List.of(),
        List.of(),
        Optional.of(limits),
        null);
  }

  static String key(int customer) {
    return "measure-key-" + customer;
  }

  static long memoryMb(Deployment d, String artifact) {
    return artifact.startsWith("model-")
        ? Deployment.modelMb(Integer.parseInt(artifact.substring("model-".length())))
        : ADAPTER_MB;
  }

  private static List<ModelSpec> models(Deployment d) {
    return IntStream.range(0, d.models())
        .mapToObj(
            i ->
                new ModelSpec(
                    ArtifactName.of(Workload.modelName(i)), Deployment.modelMb(i), MAX_REPLICAS))
        .toList();
  }

  private static List<AdapterSpec> adapters(Deployment d) {
    return IntStream.range(0, d.adapters())
        .mapToObj(
            i ->
                new AdapterSpec(
                    ArtifactName.of(Workload.adapterName(i)),
                    ArtifactName.of(Workload.modelName(i % Math.min(20, d.models()))),
                    ADAPTER_MB,
                    MAX_REPLICAS))
        .toList();
  }

  private static CustomerName customer(int index) {
    return CustomerName.of("customer-" + index);
  }

  private static List<CustomerSpec> customers() {
    return IntStream.range(0, Workload.CUSTOMERS)
        .mapToObj(
            i ->
                new CustomerSpec(
                    customer(i),
                    Workload.tokensPerSecond(i),
                    Workload.burstTokens(i),
                    1,
                    0,
                    Set.of(),
                    Set.of()))
        .toList();
  }

  private static List<KeySpec> keys() {
    return IntStream.range(0, Workload.CUSTOMERS)
        .mapToObj(i -> new KeySpec(KeyHash.ofKey(key(i)), customer(i), false))
        .toList();
  }

  private static List<EndpointSpec> engines(TestSite site) {
    List<EndpointSpec> list = new ArrayList<>();
    for (String name : site.engines()) {
      list.add(
          new EndpointSpec(
              EndpointName.of(name),
              site.domainOfEndpoint(name),
              site.standInUrl(name).toString(),
              EndpointSpec.Kind.ENGINE,
              Deployment.ENGINE_MEMORY_MB,
              true,
              false));
    }
    return list;
  }
}
