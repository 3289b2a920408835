package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.history.History;
import io.kumquatspindle.bench.history.TicketChecker;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against keys that work longer than the grace time in an isolated failure domain, or longer
 * than the time limit after their withdrawal (C6). The site has two failure domains of two VMs
 * each; the second test withdraws the key that the first one uses, so that the order matters.
 */
@DisplayName("Keys")
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class KeyTests {
  private static final Duration BOUND = Duration.ofSeconds(3);
  private static final int GRACE_SECONDS = 6;
  // A long poll of the log lasts 2 s and VMs exchange their freshness every second, so the last
  // confirmation may be this old when the links are cut.
  private static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(3_500);
  private static final FailureDomain A = FailureDomain.of("a");
  private static final String MODEL = "drafts";
  private static final String KEY = "key-withdrawn-later";
  private static final String SHORT_GRACE_KEY = "key-short-grace";
  private static final int TOKENS = 200;

  @TempDir static Path dir;
  private static TestSite site;
  private static OperatorCommand operator;

  @BeforeAll
  static void startSite() throws Exception {
    site =
        TestSite.builder(BuildTree.current(), dir)
            .domains("a", "b")
            .vmsPerDomain(2)
            .endpoints(1, 1)
            .platformRelays()
            .peerRelays()
            .standInSetting("engines.per_token_ms", 100)
            .standInSetting("engines.answer_tokens", TOKENS)
            .standInSetting("services.delay_ms", 6_000)
            .start();
    operator = new OperatorCommand(BuildTree.current(), site);
    ModelSpec model = new ModelSpec(ArtifactName.of(MODEL), 1_000, 1);
    file(SiteTickets.initialTicket(site, KEY, List.of(model)));
    var customer = TestTickets.customer("customer-2", GRACE_SECONDS, Set.of(), Set.of());
    var key = new KeySpec(KeyHash.ofKey(SHORT_GRACE_KEY), customer.name(), false);
    file(TestTickets.addCustomers(2, List.of(customer), List.of(key), List.of()));
    for (SiteVm vm : site.vms()) {
      Polling.until(
          "acceptance of the key at " + vm.id(),
          BOUND,
          () -> FleetObserver.getModels(vm, SHORT_GRACE_KEY).status() == 200);
    }
  }

  @AfterAll
  static void stopSite() {
    site.close();
  }

  private static void file(Ticket ticket) throws Exception {
    OperatorCommand.Result r = operator.file(ticket);
    assertEquals(0, r.status().orElse(-1), r.output());
  }

  @Test
  @Order(1)
  @DisplayName("work in an isolated failure domain for the grace time, and no longer")
  void serveForGraceTime() throws Exception {
    site.links().isolate(A);
    long cutNanos = System.nanoTime();
    List<SiteVm> isolatedVms = site.vms().stream().filter(v -> v.domain().equals(A)).toList();
    long graceNanos = Duration.ofSeconds(GRACE_SECONDS).toNanos();
    for (SiteVm vm : isolatedVms) {
      assertEquals(200, FleetObserver.getModels(vm, SHORT_GRACE_KEY).status(), vm.id().value());
    }
    for (SiteVm vm : isolatedVms) {
      Polling.until(
          "the end of the grace time at " + vm.id(),
          Duration.ofSeconds(GRACE_SECONDS).plus(BOUND),
          () -> !isServed(vm, cutNanos, graceNanos - MAX_CONFIRMATION_AGE.toNanos()));
    }
    for (SiteVm vm : site.vms()) {
      Http.Reply r = FleetObserver.getModels(vm, SHORT_GRACE_KEY);
      assertEquals(vm.domain().equals(A) ? "stale_configuration" : "", r.errorCode());
      // The grace time is set per customer, and the customer of this key has a longer one.
      assertEquals(200, FleetObserver.getModels(vm, KEY).status());
    }
    site.links().heal();
    for (SiteVm vm : isolatedVms) {
      Polling.until(
          "service after the partition at " + vm.id(),
          Duration.ofSeconds(10),
          () -> FleetObserver.getModels(vm, SHORT_GRACE_KEY).status() == 200);
    }
  }

  private static boolean isServed(SiteVm vm, long cutNanos, long minServedNanos) {
    Http.Reply r = FleetObserver.getModels(vm, SHORT_GRACE_KEY);
    boolean served = r.status() == 200;
    if (!served) {
      assertEquals("stale_configuration", r.errorCode(), r.toString());
      assertTrue(
          System.nanoTime() - cutNanos > minServedNanos,
          "refused before the end of the grace time at " + vm.id());
    }
    return served;
  }

  @Test
  @Order(2)
  @DisplayName("stop working in time on open connections and streams; running calls finish")
  void stopWorkingAfterWithdrawal() throws Exception {
    History history = new History();
    List<KeepAliveConnection> connections = new ArrayList<>();
    List<CompletableFuture<ChatReply>> streams = new ArrayList<>();
    List<CompletableFuture<Http.Reply>> calls = new ArrayList<>();
    try (ChatClient caller = new ChatClient(Duration.ofSeconds(30));
        FleetObserver observer = new FleetObserver(history, site.vms())) {
      ChatRequest warmUp = new ChatRequest(MODEL, "warm", 1);
      ChatReply first = caller.send(site.vms().get(0).callerUrl(), Optional.of(KEY), warmUp);
      assertTrue(first.isCompleteResponseTo(warmUp), first::toString);
      for (SiteVm vm : site.vms()) {
        KeepAliveConnection c = new KeepAliveConnection(vm.callerUrl(), KEY);
        assertEquals(200, c.getModels().status());
        connections.add(c);
        ChatRequest stream = new ChatRequest(MODEL, "stream at " + vm.id(), TOKENS);
        streams.add(caller.sendAsync(vm.callerUrl(), Optional.of(KEY), stream));
        calls.add(CompletableFuture.supplyAsync(() -> call(vm)));
      }
      Polling.until("start of all streams and calls", BOUND, KeyTests::allStreamsAndCallsRunning);
      observer.observeWithdrawal(3, KEY);
      history.record(
          "operator",
          TicketChecker.FILE,
          "3",
          () -> {
            file(SiteTickets.withdrawKey(3, KEY));
            return "withdrawn";
          });
      long filedNanos = System.nanoTime();
      for (CompletableFuture<ChatReply> s : streams) {
        ChatReply r = s.get();
        assertEquals(Optional.of("key_withdrawn"), r.errorCode(), r.toString());
        assertTrue(r.firstTokenNanos() > 0 && !r.complete(), r.toString());
        assertTrue(r.endNanos() - filedNanos < BOUND.toNanos(), "a stream continued for too long");
      }
      for (KeepAliveConnection c : connections) {
        Polling.until(
            "the refusal on an open connection",
            BOUND,
            () -> c.getModels().errorCode().equals("key_withdrawn"));
      }
      for (CompletableFuture<Http.Reply> c : calls) {
        assertEquals(200, c.get().status(), c.get().toString());
      }
      for (SiteVm vm : site.vms()) {
        awaitObservation(history, vm, filedNanos + BOUND.toNanos());
      }
    } finally {
      for (KeepAliveConnection c : connections) {
        c.close();
      }
    }
    Set<String> vms = site.vms().stream().map(v -> v.id().value()).collect(Collectors.toSet());
    assertEquals(List.of(), new TicketChecker(BOUND, vms).violations(history));
  }

  private static Http.Reply call(SiteVm vm) {
    return Http.post(
        vm.callerUrl().resolve("/services/dispatch/notices"),
        Http.authorization(KEY),
        "{\"call_id\":\"" + vm.id() + "\"}");
  }

  private static boolean allStreamsAndCallsRunning() throws Exception {
    int running = 0;
    for (var request :
        Http.getJson(site.standInUrl("engine-1").resolve("/history")).path("requests")) {
      running += request.path("outcome").asText().equals("running") ? 1 : 0;
    }
    int calls =
        Http.getJson(site.standInUrl("service-1").resolve("/report")).path("running").asInt();
    return running == site.vms().size() && calls == site.vms().size();
  }

  private static void awaitObservation(History history, SiteVm vm, long afterNanos)
      throws Exception {
    Polling.until(
        "an observation at " + vm.id(),
        BOUND.multipliedBy(2),
        () ->
            history.withAction(TicketChecker.OBSERVE).stream()
                .anyMatch(o -> o.actor().equals(vm.id().value()) && o.beganAfter(afterNanos)));
  }
}
