package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import io.kumquatspindle.engine.check.QuotaHistoryChecker;
import io.kumquatspindle.engine.check.QuotaHistoryChecker.Admission;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against customers that exceed their rate over all VMs, or are refused within it (C7). One
 * customer sends four times its rate at all VMs and another one stays within its rate, while a
 * control is killed and restarted and a failure domain is isolated.
 *
 * <p>The checked history is recorded by the engines: which requests they answered, and when these
 * arrived.
 */
@DisplayName("Customer rates over all VMs")
class QuotaTests {
  private static final int RATE = 400;
  private static final int BURST = 800;
  private static final int ANSWER_TOKENS = 50;
  private static final int SECONDS = 16;
  private static final int GREEDY_PER_SECOND = 4 * RATE / ANSWER_TOKENS;
  private static final int MODEST_PER_SECOND = RATE / ANSWER_TOKENS / 2;
  // Requests are delayed by between 0 ms and this time from admission to the engine, so a time
  // window measured at the engine can be this much shorter than at admission.
  private static final long JITTER_MS = 250;
  private static final String GREEDY = "greedy";
  private static final String MODEST = "modest";

  @TempDir static Path directory;

  private static TestSite site;
  private static ChatClient caller;

  @BeforeAll
  static void start() throws IOException {
    BuildTree tree = BuildTree.current();
    site =
        TestSite.builder(tree, directory)
            .domains("a", "b")
            .vmsPerDomain(2)
            .endpoints(2, 0)
            .platformRelays()
            .peerRelays()
            .standInSetting("engines.first_token_ms", 5)
            .standInSetting("engines.per_token_ms", 1)
            .standInSetting("engines.answer_tokens", ANSWER_TOKENS)
            .standInSetting("engines.capacity", 200)
            .standInSetting("engines.history", 100_000)
            .start();
    caller = new ChatClient(Duration.ofSeconds(20));
    OperatorCommand.Result filed = new OperatorCommand(tree, site).file(ticket());
    assertTrue(filed.succeeded(), filed.output());
  }

  @AfterAll
  static void stop() {
    if (caller != null) {
      caller.close();
    }
    if (site != null) {
      site.close();
    }
  }

  private static Ticket ticket() {
    List<ModelSpec> models =
        List.of(
            new ModelSpec(ArtifactName.of(GREEDY), 1_000, 2),
            new ModelSpec(ArtifactName.of(MODEST), 1_000, 2));
    Ticket t = SiteTickets.initialTicket(site, GREEDY, models);
    List<CustomerSpec> customers = List.of(customerSpec(GREEDY), customerSpec(MODEST));
    List<KeySpec> keys = List.of(keySpec(GREEDY), keySpec(MODEST));
    return new Ticket(
        t.number(),
        t.filing(),
        t.author(),
        t.comment(),
        t.models(),
        t.adapters(),
        customers,
        keys,
        t.endpoints(),
        t.services(),
        t.openRoutes(),
        t.limits(),
        t.remove());
  }

  private static CustomerSpec customerSpec(String name) {
    return new CustomerSpec(
        CustomerName.of(name), RATE, BURST, 1, 0, Set.of(ArtifactName.of(name)), Set.of());
  }

  // Must differ from the model's name, because a request whose body contains the key is refused.
  private static String keyText(String name) {
    return "key-of-" + name;
  }

  private static KeySpec keySpec(String name) {
    return new KeySpec(KeyHash.ofKey(keyText(name)), CustomerName.of(name), false);
  }

  @Test
  @DisplayName("hold in a partition and a restart, and a customer within its rate is served")
  void holdInCutAndRestart() throws Exception {
    for (SiteVm vm : site.vms()) {
      awaitServed(vm, GREEDY);
      awaitServed(vm, MODEST);
    }
    List<CompletableFuture<ChatReply>> greedy = new ArrayList<>();
    List<CompletableFuture<ChatReply>> modest = new ArrayList<>();
    long start = System.nanoTime();
    int perSecond = GREEDY_PER_SECOND + MODEST_PER_SECOND;
    for (int i = 0; i < SECONDS * perSecond; i++) {
      long dueMs = i * 1_000L / perSecond;
      sleepUntil(start + TimeUnit.MILLISECONDS.toNanos(dueMs));
      injectFaultsAt(i, perSecond);
      boolean isModest = i % perSecond % (perSecond / MODEST_PER_SECOND) == 0;
      SiteVm vm = site.vms().get(i % site.vms().size());
      (isModest ? modest : greedy).add(send(vm, isModest ? MODEST : GREEDY, i));
    }
    greedy.forEach(CompletableFuture::join);
    List<Long> refusedAtMs = new ArrayList<>();
    for (int i = 0; i < modest.size(); i++) {
      if (isRefused(modest.get(i).join())) {
        refusedAtMs.add(i * 1_000L / MODEST_PER_SECOND);
      }
    }
    assertEquals(List.of(), checker().violations(admissions()));
    assertTrue(
        refusedAtMs.size() <= modest.size() / 20,
        modest.size() + " requests within the rate, refused at (ms) " + refusedAtMs);
  }

  private static void injectFaultsAt(int i, int perSecond) throws IOException {
    if (i == 3 * perSecond) {
      site.vms().get(1).control().kill();
    } else if (i == 5 * perSecond) {
      site.vms().get(1).startControl();
    } else if (i == 9 * perSecond) {
      site.links().isolate(site.domains().get(0));
    } else if (i == 13 * perSecond) {
      site.links().heal();
    }
  }

  private static CompletableFuture<ChatReply> send(SiteVm vm, String name, int i) {
    ChatRequest request = new ChatRequest(name, Integer.toString(i), ANSWER_TOKENS);
    return caller
        .sendAsync(vm.callerUrl(), Optional.of(keyText(name)), request)
        .exceptionally(
            e -> new ChatReply(0, 0, 0, 0, "", false, Optional.of(String.valueOf(e.getMessage()))));
  }

  private static void awaitServed(SiteVm vm, String name) {
    ChatRequest request = new ChatRequest(name, "first", 1);
    Awaitility.await()
        .atMost(Duration.ofSeconds(30))
        .untilAsserted(
            () -> {
              ChatReply reply = caller.send(vm.callerUrl(), Optional.of(keyText(name)), request);
              assertTrue(reply.complete(), () -> vm.id() + " answered " + reply);
            });
  }

  private static boolean isRefused(ChatReply r) {
    return r.errorCode().filter("over_rate"::equals).isPresent();
  }

  private static QuotaHistoryChecker checker() {
    long burst = BURST + RATE * JITTER_MS / 1_000;
    return new QuotaHistoryChecker()
        .setLimit(CustomerName.of(GREEDY), RATE, burst)
        .setLimit(CustomerName.of(MODEST), RATE, burst);
  }

  private static List<Admission> admissions() throws IOException {
    List<Admission> list = new ArrayList<>();
    for (String engine : site.engines()) {
      ChatClient.Page page =
          caller.get(site.standInUrl(engine).resolve("/history"), Optional.empty());
      for (JsonNode r : Json.mapper().readTree(page.body()).path("requests")) {
        CustomerName customer = CustomerName.of(r.path("model").asText());
        list.add(new Admission(customer, r.path("timeMs").asLong(), r.path("tokens").asLong()));
      }
    }
    assertFalse(list.isEmpty());
    return list;
  }

  private static void sleepUntil(long due) {
    for (long remaining = due - System.nanoTime();
        remaining > 0;
        remaining = due - System.nanoTime()) {
      LockSupport.parkNanos(remaining);
    }
  }
}
