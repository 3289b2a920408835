package io.kumquatspindle.bench.system;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.bench.check.EngineState;
import io.kumquatspindle.bench.check.Execution;
import io.kumquatspindle.bench.check.ReplicaCheck;
import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;

/** A test site whose first ticket is in effect, with access to what the stand-ins recorded. */
final class ConfiguredTestSite implements AutoCloseable {
  static final String KEY = "request-proofs-key";
  static final long ENGINE_MB = 80_000;

  // Covers the 50 ms period at which the entry checks the deadlines of waiting requests, and the
  // scheduling delays of a dozen processes on few cores.
  static final long DEADLINE_MARGIN_MS = 1_000;

  private static final Duration FIRST_TICKET_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final long POLL_INTERVAL_MS = 20;
  // The restart of an engine is detected with its next report and recorded by an append to the log.
  private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_REPORTED_VIOLATIONS = 5;

  final TestSite testSite;
  private final HttpClient http = HttpClient.newHttpClient();

  private ConfiguredTestSite(TestSite site) {
    this.testSite = site;
  }

  /** Starts a site and waits until its first ticket is in effect on every VM. */
  static ConfiguredTestSite start(
      TestSite.Builder builder, List<ModelSpec> models, UnaryOperator<Ticket> change)
      throws Exception {
    ConfiguredTestSite s = new ConfiguredTestSite(builder.start());
    try {
      Ticket first = change.apply(SiteTickets.initialTicket(s.testSite, KEY, models));
      OperatorCommand.Result r = new OperatorCommand(BuildTree.current(), s.testSite).file(first);
      if (!r.succeeded()) {
        throw new IOException("ticket 1 was not accepted: " + r);
      }
      s.awaitFirstTicket();
      return s;
    } catch (Exception e) {
      s.close();
      throw e;
    }
  }

  /** Returns a random generator; its seed is printed, and is set by {@code -Dsystem.seed}. */
  static Random seededRandom(String test) {
    long seed = Long.getLong("system.seed", System.nanoTime());
    System.out.println(test + ": seed " + seed + " (repeat with -Dsystem.seed=" + seed + ")");
    return new Random(seed);
  }

  static ModelSpec modelSpec(String name, long memoryMb, int maxReplicas) {
    return new ModelSpec(ArtifactName.of(name), memoryMb, maxReplicas);
  }

  /** Fails if there are violations, and reports the first of them. */
  static void assertNoViolations(List<String> violations) {
    if (!violations.isEmpty()) {
      String reported =
          String.join(
              "\n", violations.subList(0, Math.min(MAX_REPORTED_VIOLATIONS, violations.size())));
      throw new AssertionError(violations.size() + " violations, including:\n" + reported);
    }
  }

  List<SiteVm> vms() {
    return testSite.vms();
  }

  /** Replaces the injected faults of a stand-in; {@code {}} removes them. */
  void setFaults(String standIn, String json) throws Exception {
    HttpRequest post =
        HttpRequest.newBuilder(testSite.standInUrl(standIn).resolve("/faults"))
            .timeout(CALL_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build();
    // Retried, because a stand-in with an injected down time refuses this request as well.
    await("faults of " + standIn + " set to " + json, CALL_TIMEOUT, () -> acceptsFaults(post));
  }

  private boolean acceptsFaults(HttpRequest post) throws Exception {
    try {
      HttpResponse<String> r = http.send(post, HttpResponse.BodyHandlers.ofString());
      if (r.statusCode() != 200) {
        throw new AssertionError(post.uri() + " rejected the faults: " + r.body());
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Removes the injected faults of all stand-ins. */
  void clearFaults() throws Exception {
    List<String> all = new ArrayList<>(List.of("log", "vm_list", "store"));
    all.addAll(testSite.engines());
    all.addAll(testSite.services());
    for (String s : all) {
      setFaults(s, "{}");
    }
  }

  /** Polls until a condition holds, and fails after the timeout. */
  static void await(String what, Duration timeout, Callable<Boolean> condition) throws Exception {
    long start = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - start > timeout.toNanos()) {
        throw new AssertionError("not satisfied within " + timeout.toMillis() + " ms: " + what);
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits until every VM serves a model. */
  void awaitServed(String model, Duration timeout) throws Exception {
    try (ChatClient caller = new ChatClient(timeout)) {
      for (SiteVm vm : vms()) {
        ChatRequest probe = new ChatRequest(model, "probe", 1);
        await(
            model + " is served at " + vm.id(),
            timeout,
            () -> {
              try {
                return caller
                    .send(vm.callerUrl(), Optional.of(KEY), probe)
                    .isCompleteResponseTo(probe);
              } catch (IOException e) {
                return false; // A pooled connection may lead to an entry that was killed.
              }
            });
      }
    }
  }

  List<Execution> executions() throws Exception {
    List<Execution> result = new ArrayList<>();
    for (String service : testSite.services()) {
      for (JsonNode c : getJson(testSite.standInUrl(service).resolve("/history")).path("calls")) {
        if (c.path("executed").asBoolean()) {
          String id = "";
          for (var f = c.path("headers").fields(); f.hasNext(); ) {
            Map.Entry<String, JsonNode> header = f.next();
            id = header.getKey().equalsIgnoreCase("x-request-id") ? header.getValue().asText() : id;
          }
          result.add(new Execution(service, c.path("callId").asText(), id));
        }
      }
    }
    return result;
  }

  /** Reads the state of every engine once. */
  List<EngineState> engineStates() throws Exception {
    List<EngineState> result = new ArrayList<>();
    for (String engine : testSite.engines()) {
      URI base = testSite.standInUrl(engine);
      JsonNode report = getJson(base.resolve("/report"));
      Set<String> held = new HashSet<>();
      report.path("loaded").fieldNames().forEachRemaining(held::add);
      report.path("loading").forEach(a -> held.add(a.asText()));
      List<EngineState.LoadOrder> loads = new ArrayList<>();
      for (JsonNode o : getJson(base.resolve("/history")).path("orders")) {
        if (o.path("kind").asText().equals("load")) {
          loads.add(
              new EngineState.LoadOrder(
                  o.path("artifact").asText(),
                  o.path("fencingNumber").asLong(),
                  o.path("status").asInt()));
        }
      }
      JsonNode v = getJson(base.resolve("/stats")).path("violations");
      long count = v.path("memoryOvercommits").asLong() + v.path("unloadsWhileRunning").asLong();
      result.add(new EngineState(engine, report.path("incarnation").asText(), held, loads, count));
    }
    return result;
  }

  /** Replays the whole decisions stream into a check. */
  ReplicaCheck readDecisions() throws Exception {
    Map<EndpointName, Long> capacity = new HashMap<>();
    testSite.engines().forEach(e -> capacity.put(EndpointName.of(e), ENGINE_MB));
    ReplicaCheck check = new ReplicaCheck(capacity);
    URI page = testSite.standInUrl("log").resolve("/log/decisions?from=0&max=100000&wait_ms=0");
    for (JsonNode r : getJson(page).path("records")) {
      DecisionRecord record = Json.decode(r.path("value").binaryValue(), DecisionRecord.class);
      check.record(r.path("offset").asLong(), r.path("time_ms").asLong(), record);
    }
    return check;
  }

  /** Compares engines with decisions until they agree; returns what differs at the timeout. */
  List<String> settledReplicaViolations() throws Exception {
    long start = System.nanoTime();
    while (true) {
      List<EngineState> engines = engineStates();
      List<String> violations = readDecisions().violations(engines);
      if (violations.isEmpty() || System.nanoTime() - start > SETTLE_TIMEOUT.toNanos()) {
        return violations;
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  @Override
  public void close() {
    testSite.close();
  }

  private void awaitFirstTicket() throws Exception {
    try (ChatClient caller = new ChatClient(CALL_TIMEOUT)) {
      for (SiteVm vm : vms()) {
        URI page = vm.callerUrl().resolve("/v1/models");
        await(
            "ticket 1 at " + vm.id(),
            FIRST_TICKET_TIMEOUT,
            () -> caller.get(page, Optional.of(KEY)).status() == 200);
      }
    }
  }

  private JsonNode getJson(URI page) throws Exception {
    HttpRequest get = HttpRequest.newBuilder(page).timeout(CALL_TIMEOUT).build();
    HttpResponse<byte[]> r = http.send(get, HttpResponse.BodyHandlers.ofByteArray());
    if (r.statusCode() != 200) {
      throw new IOException(page + " returned status " + r.statusCode());
    }
    return Json.mapper().readTree(r.body());
  }
}
