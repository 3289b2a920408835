package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.config.EndpointSpec.Kind;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.history.History;
import io.kumquatspindle.bench.history.LeavingChecker;
import io.kumquatspindle.bench.history.Operation;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an endpoint marked as leaving that gets new requests after the time limit, or
 * whose running requests are truncated (C11). Each test drains an endpoint for good, so that the
 * order matters.
 */
@DisplayName("A leaving endpoint")
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class LeavingEndpointTests {
  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int SERVICE_DELAY_MS = 800;
  private static final String KEY = "key-1";
  private static final String MODEL = "drafts";

  @TempDir static Path dir;
  private static TestSite site;
  private static OperatorCommand operator;

  @BeforeAll
  static void startSite() throws Exception {
    site =
        TestSite.builder(BuildTree.current(), dir)
            .vmsPerDomain(2)
            .endpoints(2, 3)
            .standInSetting("services.delay_ms", SERVICE_DELAY_MS)
            .standInSetting("engines.per_token_ms", 50)
            .standInSetting("engines.answer_tokens", 150)
            .start();
    operator = new OperatorCommand(BuildTree.current(), site);
    ModelSpec model = new ModelSpec(ArtifactName.of(MODEL), 1_000, 1);
    assertTrue(operator.file(SiteTickets.initialTicket(site, KEY, List.of(model))).succeeded());
    for (SiteVm vm : site.vms()) {
      Polling.until(
          "acceptance of the key", TIMEOUT, () -> FleetObserver.getModels(vm, KEY).status() == 200);
    }
  }

  @AfterAll
  static void stopSite() {
    site.close();
  }

  @Test
  @Order(1)
  @DisplayName("marked by its own report gets no new calls after the limit, and its calls finish")
  void serviceByReport() throws Exception {
    assertDrains(
        "service-1",
        () -> {
          Http.setFaults(site.standInUrl("service-1"), "{\"leaving\":true}");
          return "";
        });
  }

  @Test
  @Order(2)
  @DisplayName("marked by a ticket gets no new calls after the limit, and its calls finish")
  void serviceByTicket() throws Exception {
    assertDrains("service-2", () -> fileLeavingTicket(2, "service-2", Kind.SERVICE));
  }

  @Test
  @Order(3)
  @DisplayName("marked by a ticket finishes its stream, and its model is loaded elsewhere")
  void engineByTicket() throws Exception {
    ChatRequest longRequest = new ChatRequest(MODEL, "long", 150);
    ChatRequest nextRequest = new ChatRequest(MODEL, "next", 2);
    Optional<String> key = Optional.of(KEY);
    try (ChatClient caller = new ChatClient(Duration.ofSeconds(60))) {
      CompletableFuture<ChatReply> stream =
          caller.sendAsync(site.vms().get(0).callerUrl(), key, longRequest);
      Polling.until("start of the stream", TIMEOUT, () -> engineWithRunningRequest().isPresent());
      String engine = engineWithRunningRequest().orElseThrow();
      fileLeavingTicket(3, engine, Kind.ENGINE);
      long markedMs = System.currentTimeMillis();
      ChatReply r = stream.get();
      assertTrue(r.isCompleteResponseTo(longRequest), r.toString());
      long boundEndsMs = markedMs + BOUND.toMillis();
      Polling.until("the bound passes", BOUND, () -> System.currentTimeMillis() > boundEndsMs);
      for (SiteVm vm : site.vms()) {
        ChatReply n = caller.send(vm.callerUrl(), key, nextRequest);
        assertTrue(n.isCompleteResponseTo(nextRequest), n.toString());
      }
      for (JsonNode q :
          Http.getJson(site.standInUrl(engine).resolve("/history")).path("requests")) {
        assertTrue(q.path("timeMs").asLong() <= boundEndsMs, q.toString());
      }
    }
  }

  private static Optional<String> engineWithRunningRequest() throws Exception {
    for (String engine : site.engines()) {
      for (JsonNode r :
          Http.getJson(site.standInUrl(engine).resolve("/history")).path("requests")) {
        if (r.path("outcome").asText().equals("running")) {
          return Optional.of(engine);
        }
      }
    }
    return Optional.empty();
  }

  private static String fileLeavingTicket(long number, String endpoint, Kind kind)
      throws Exception {
    OperatorCommand.Result r = operator.file(TestTickets.markLeaving(number, site, endpoint, kind));
    assertEquals(0, r.status().orElse(-1), r.output());
    return "";
  }

  private static void assertDrains(String endpoint, Callable<String> markLeaving) throws Exception {
    History requests = new History();
    History history = new History();
    try (BalancedLoadGenerator load = new BalancedLoadGenerator(requests, site.vms(), KEY, MODEL)) {
      Polling.until("work at " + endpoint, TIMEOUT, () -> executionCount(endpoint) > 0);
      history.record(endpoint, LeavingChecker.LEAVE, "", markLeaving);
      long due = System.nanoTime() + BOUND.toNanos();
      Polling.until("the bound passes", BOUND.plusSeconds(1), () -> System.nanoTime() > due);
      load.awaitAnswers(20);
    }
    addExecutedWork(history, requests, endpoint);
    assertEquals(List.of(), new LeavingChecker(BOUND).violations(history));
  }

  private static int executionCount(String endpoint) throws Exception {
    return Http.getJson(site.standInUrl(endpoint).resolve("/history")).path("calls").size();
  }

  /**
   * Adds the calls that the endpoint executed, with the outcomes that their callers saw. The
   * stand-in records a call when it executes it, so the call arrived earlier by the configured
   * delay.
   */
  private static void addExecutedWork(History history, History requests, String endpoint)
      throws Exception {
    long epochToNanoTime = System.nanoTime() - System.currentTimeMillis() * 1_000_000;
    Map<String, Operation> bySubject = new HashMap<>();
    requests.operations().forEach(o -> bySubject.put(o.subject(), o));
    for (JsonNode c : Http.getJson(site.standInUrl(endpoint).resolve("/history")).path("calls")) {
      Operation o = bySubject.get(c.path("callId").asText());
      if (o != null) {
        long arrived = (c.path("timeMs").asLong() - SERVICE_DELAY_MS) * 1_000_000 + epochToNanoTime;
        history.add(
            new Operation(
                endpoint,
                LeavingChecker.REQUEST,
                o.subject(),
                o.outcome(),
                arrived,
                o.returnedNanos()));
      }
    }
  }
}
