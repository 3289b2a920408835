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

/** Proof of C11; each test uses up one endpoint of the site. */
@DisplayName("An endpoint that leaves")
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class LeavingTests {
  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final int DELAY_MS = 800;
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
            .standInSetting("services.delay_ms", DELAY_MS)
            .standInSetting("engines.per_token_ms", 50)
            .standInSetting("engines.answer_tokens", 150)
            .start();
    operator = new OperatorCommand(BuildTree.current(), site);
    ModelSpec model = new ModelSpec(ArtifactName.of(MODEL), 1_000, 1);
    assertTrue(operator.file(SiteTickets.initialTicket(site, KEY, List.of(model))).succeeded());
    for (SiteVm vm : site.vms()) {
      Waiting.until("the key", LIMIT, () -> FleetObserver.ask(vm, KEY).status() == 200);
    }
  }

  @AfterAll
  static void stopSite() {
    site.close();
  }

  @Test
  @Order(1)
  @DisplayName("by its own report gets no new calls in time, and its calls finish")
  void serviceByReport() throws Exception {
    leaves(
        "service-1",
        () -> {
          Http.faults(site.standInUrl("service-1"), "{\"leaving\":true}");
          return "";
        });
  }

  @Test
  @Order(2)
  @DisplayName("by ticket gets no new calls in time, and its calls finish")
  void serviceByTicket() throws Exception {
    leaves("service-2", () -> ticket(2, "service-2", Kind.SERVICE));
  }

  @Test
  @Order(3)
  @DisplayName("by ticket lets a stream finish, and its model is loaded elsewhere")
  void engineByTicket() throws Exception {
    ChatRequest longOne = new ChatRequest(MODEL, "long", 150);
    ChatRequest next = new ChatRequest(MODEL, "next", 2);
    Optional<String> key = Optional.of(KEY);
    try (ChatClient caller = new ChatClient(Duration.ofSeconds(60))) {
      CompletableFuture<ChatReply> stream =
          caller.sendAsync(site.vms().get(0).callerUrl(), key, longOne);
      Waiting.until("the stream runs", LIMIT, () -> running().isPresent());
      String engine = running().orElseThrow();
      ticket(3, engine, Kind.ENGINE);
      long left = System.currentTimeMillis();
      ChatReply r = stream.get();
      assertTrue(r.isCompleteResponseTo(longOne), r.toString());
      long endsAt = left + BOUND.toMillis();
      Waiting.until("the bound passes", BOUND, () -> System.currentTimeMillis() > endsAt);
      for (SiteVm vm : site.vms()) {
        ChatReply n = caller.send(vm.callerUrl(), key, next);
        assertTrue(n.isCompleteResponseTo(next), n.toString());
      }
      for (JsonNode q : Http.json(site.standInUrl(engine).resolve("/history")).path("requests")) {
        assertTrue(q.path("timeMs").asLong() <= endsAt, q.toString());
      }
    }
  }

  private static Optional<String> running() throws Exception {
    for (String engine : site.engines()) {
      for (JsonNode r : Http.json(site.standInUrl(engine).resolve("/history")).path("requests")) {
        if (r.path("outcome").asText().equals("running")) {
          return Optional.of(engine);
        }
      }
    }
    return Optional.empty();
  }

  private static String ticket(long number, String endpoint, Kind kind) throws Exception {
    OperatorCommand.Result r = operator.file(TestTickets.leaving(number, site, endpoint, kind));
    assertEquals(0, r.status().orElse(-1), r.output());
    return "";
  }

  private static void leaves(String endpoint, Callable<String> mark) throws Exception {
    History requests = new History();
    History history = new History();
    try (BalancedLoad load = new BalancedLoad(requests, site.vms(), KEY, MODEL)) {
      Waiting.until("work at " + endpoint, LIMIT, () -> executions(endpoint) > 0);
      history.record(endpoint, LeavingChecker.LEAVE, "", mark);
      long due = System.nanoTime() + BOUND.toNanos();
      Waiting.until("the bound passes", BOUND.plusSeconds(1), () -> System.nanoTime() > due);
      load.awaitAnswers(20);
    }
    addWork(history, requests, endpoint);
    assertEquals(List.of(), new LeavingChecker(BOUND).violations(history));
  }

  private static int executions(String endpoint) throws Exception {
    return Http.json(site.standInUrl(endpoint).resolve("/history")).path("calls").size();
  }

  /** Joins what the endpoint executed with what callers got; it begins with the arrival. */
  private static void addWork(History history, History requests, String endpoint) throws Exception {
    long toNanos = System.nanoTime() - System.currentTimeMillis() * 1_000_000;
    Map<String, Operation> bySubject = new HashMap<>();
    requests.operations().forEach(o -> bySubject.put(o.subject(), o));
    for (JsonNode c : Http.json(site.standInUrl(endpoint).resolve("/history")).path("calls")) {
      Operation o = bySubject.get(c.path("callId").asText());
      if (o != null) {
        long arrived = (c.path("timeMs").asLong() - DELAY_MS) * 1_000_000 + toNanos;
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
