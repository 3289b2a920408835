package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.model.ServiceName;
import io.kumquatspindle.bench.history.ExposureChecker;
import io.kumquatspindle.bench.history.ExposureChecker.ReceivedRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against caller keys that reach an endpoint and requests that run on a model or service of
 * another customer (C4, C5). Each of three customers has a model and a service of its own.
 */
@DisplayName("Endpoints")
class CustomerIsolationTests {
  private static final int CUSTOMERS = 3;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  @TempDir Path dir;

  @Test
  @DisplayName("see no key, and run requests only for the customer that the key belongs to")
  void isolatesCustomers() throws Exception {
    try (TestSite site =
        TestSite.builder(BuildTree.current(), dir)
            .vmsPerDomain(2)
            .endpoints(2, CUSTOMERS)
            .standInSetting("engines.first_token_ms", 5)
            .standInSetting("engines.per_token_ms", 2)
            .start()) {
      fileTickets(site);
      List<MixedWorkloadCaller> callers = new ArrayList<>();
      for (SiteVm vm : site.vms()) {
        for (int c = 1; c <= CUSTOMERS; c++) {
          callers.add(new MixedWorkloadCaller(vm, c, CUSTOMERS));
        }
      }
      callers.forEach(MixedWorkloadCaller::start);
      for (MixedWorkloadCaller c : callers) {
        c.join();
      }
      Map<String, ExposureChecker.SentRequest> sentRequests = new HashMap<>();
      Map<String, String> idByBodyHash = new HashMap<>();
      Map<String, Map<String, Integer>> statuses = new TreeMap<>();
      for (MixedWorkloadCaller c : callers) {
        sentRequests.putAll(c.sent());
        idByBodyHash.putAll(c.idByBodyHash());
        c.statuses()
            .forEach(
                (kind, s) ->
                    s.forEach(
                        (status, n) ->
                            statuses
                                .computeIfAbsent(kind, k -> new TreeMap<>())
                                .merge(status, n, Integer::sum)));
      }
      List<ReceivedRequest> seenRequests = requestsSeenByEndpoints(site, idByBodyHash);
      assertEquals(List.of(), checker().violations(sentRequests, seenRequests));
      assertEquals(
          MixedWorkloadCaller.EXPECTED_STATUSES,
          statuses.keySet().stream()
              .collect(Collectors.toMap(k -> k, k -> Set.copyOf(statuses.get(k).keySet()))));
      assertTrue(
          seenRequests.size() > 100,
          "only " + seenRequests.size() + " requests reached an endpoint");
    }
  }

  private static ExposureChecker checker() {
    Map<String, Set<String>> allowed = new HashMap<>();
    Set<String> keys = new HashSet<>();
    for (int c = 1; c <= CUSTOMERS; c++) {
      allowed.put("c" + c, Set.of("m" + c, "service-" + c));
      keys.add(MixedWorkloadCaller.key(c));
    }
    return new ExposureChecker(keys, allowed);
  }

  private static void fileTickets(TestSite site) throws Exception {
    OperatorCommand operator = new OperatorCommand(BuildTree.current(), site);
    List<ModelSpec> models = new ArrayList<>();
    List<CustomerSpec> customers = new ArrayList<>();
    List<KeySpec> keys = new ArrayList<>();
    List<ServiceSpec> services = new ArrayList<>();
    for (int c = 1; c <= CUSTOMERS; c++) {
      ArtifactName model = ArtifactName.of("m" + c);
      ServiceName service = ServiceName.of("s" + c);
      models.add(new ModelSpec(model, 1_000, 1));
      customers.add(TestTickets.customer("c" + c, 900, Set.of(model), Set.of(service)));
      KeyHash hash = KeyHash.ofKey(MixedWorkloadCaller.key(c));
      keys.add(new KeySpec(hash, CustomerName.of("c" + c), false));
      services.add(
          new ServiceSpec(
              service, List.of(EndpointName.of("service-" + c)), false, 1, Set.of("call_id")));
    }
    assertTrue(operator.file(SiteTickets.initialTicket(site, "key-other", models)).succeeded());
    assertTrue(operator.file(TestTickets.addCustomers(2, customers, keys, services)).succeeded());
    for (SiteVm vm : site.vms()) {
      Polling.until(
          "acceptance of the keys",
          TIMEOUT,
          () -> FleetObserver.getModels(vm, MixedWorkloadCaller.key(1)).status() == 200);
    }
  }

  private static List<ReceivedRequest> requestsSeenByEndpoints(
      TestSite site, Map<String, String> idByBodyHash) throws Exception {
    List<ReceivedRequest> seen = new ArrayList<>();
    for (String engine : site.engines()) {
      for (JsonNode r :
          Http.getJson(site.standInUrl(engine).resolve("/history")).path("requests")) {
        String id = idByBodyHash.getOrDefault(r.path("bodySha256").asText(), "changed body");
        seen.add(new ReceivedRequest(engine, r.path("model").asText(), id, r.toString()));
      }
    }
    for (String service : site.services()) {
      for (JsonNode r : Http.getJson(site.standInUrl(service).resolve("/history")).path("calls")) {
        seen.add(new ReceivedRequest(service, service, r.path("callId").asText(), r.toString()));
      }
    }
    return seen;
  }
}
