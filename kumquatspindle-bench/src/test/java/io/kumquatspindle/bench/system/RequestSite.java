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

/** A test site with its first ticket in force, and the stand-ins' side of what happened. */
final class RequestSite implements AutoCloseable {
  static final String KEY = "request-proofs-key";
  static final long ENGINE_MB = 80_000;

  // Covers the wait room's tick of 50 ms and the scheduling of a dozen processes on few cores.
  static final long MARGIN_MS = 1_000;

  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final long POLL_MS = 20;
  // A restarted engine is noticed by the next report, and the record of it needs an append.
  private static final Duration SETTLE_LIMIT = Duration.ofSeconds(10);
  private static final int SHOWN_FAULTS = 5;

  final TestSite site;
  private final HttpClient http = HttpClient.newHttpClient();

  private RequestSite(TestSite site) {
    this.site = site;
  }

  /** Starts a site and waits until its first ticket is in force on every VM. */
  static RequestSite start(
      TestSite.Builder builder, List<ModelSpec> models, UnaryOperator<Ticket> change)
      throws Exception {
    RequestSite s = new RequestSite(builder.start());
    try {
      Ticket first = change.apply(SiteTickets.initialTicket(s.site, KEY, models));
      OperatorCommand.Result r = new OperatorCommand(BuildTree.current(), s.site).file(first);
      if (!r.succeeded()) {
        throw new IOException("ticket 1: " + r);
      }
      s.awaitInForce();
      return s;
    } catch (Exception e) {
      s.close();
      throw e;
    }
  }

  /** Returns a random generator whose seed is printed, or given by {@code -Dsystem.seed}. */
  static Random random(String test) {
    long seed = Long.getLong("system.seed", System.nanoTime());
    System.out.println(test + ": seed " + seed + " (repeat with -Dsystem.seed=" + seed + ")");
    return new Random(seed);
  }

  static ModelSpec model(String name, long memoryMb, int maxReplicas) {
    return new ModelSpec(ArtifactName.of(name), memoryMb, maxReplicas);
  }

  /** Fails with the first faults that a checker has found. */
  static void assertNone(List<String> faults) {
    if (!faults.isEmpty()) {
      String some = String.join("\n", faults.subList(0, Math.min(SHOWN_FAULTS, faults.size())));
      throw new AssertionError(faults.size() + " faults, among them:\n" + some);
    }
  }

  List<SiteVm> vms() {
    return site.vms();
  }

  /** Replaces the faults of a stand-in; {@code {}} ends them. */
  void faults(String standIn, String json) throws Exception {
    HttpRequest post =
        HttpRequest.newBuilder(site.standInUrl(standIn).resolve("/faults"))
            .timeout(CALL_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build();
    // A stand-in that is down for a while cannot be reached for its next faults either.
    await(standIn + " takes " + json, CALL_TIMEOUT, () -> accepts(post));
  }

  private boolean accepts(HttpRequest post) throws Exception {
    try {
      HttpResponse<String> r = http.send(post, HttpResponse.BodyHandlers.ofString());
      if (r.statusCode() != 200) {
        throw new AssertionError(post.uri() + " refuses the faults: " + r.body());
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends the faults of all stand-ins. */
  void endFaults() throws Exception {
    List<String> all = new ArrayList<>(List.of("log", "vm_list", "store"));
    all.addAll(site.engines());
    all.addAll(site.services());
    for (String s : all) {
      faults(s, "{}");
    }
  }

  /** Polls until a condition holds, and fails after a limit. */
  static void await(String what, Duration limit, Callable<Boolean> condition) throws Exception {
    long start = System.nanoTime();
    while (!condition.call()) {
      if (System.nanoTime() - start > limit.toNanos()) {
        throw new AssertionError("not within " + limit.toMillis() + " ms: " + what);
      }
      Thread.sleep(POLL_MS);
    }
  }

  /** Waits until a model is answered through each VM. */
  void awaitServed(String model, Duration limit) throws Exception {
    try (ChatClient caller = new ChatClient(limit)) {
      for (SiteVm vm : vms()) {
        ChatRequest probe = new ChatRequest(model, "probe", 1);
        await(
            model + " is served at " + vm.id(),
            limit,
            () -> {
              try {
                return caller
                    .send(vm.callerUrl(), Optional.of(KEY), probe)
                    .isCompleteResponseTo(probe);
              } catch (IOException e) {
                return false; // The connection may still be to an entry that was killed.
              }
            });
      }
    }
  }

  List<Execution> executions() throws Exception {
    List<Execution> result = new ArrayList<>();
    for (String service : site.services()) {
      for (JsonNode c : get(site.standInUrl(service).resolve("/history")).path("calls")) {
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

  /** Looks at every engine once. */
  List<EngineState> engines() throws Exception {
    List<EngineState> result = new ArrayList<>();
    for (String engine : site.engines()) {
      URI base = site.standInUrl(engine);
      JsonNode report = get(base.resolve("/report"));
      Set<String> held = new HashSet<>();
      report.path("loaded").fieldNames().forEachRemaining(held::add);
      report.path("loading").forEach(a -> held.add(a.asText()));
      List<EngineState.LoadOrder> loads = new ArrayList<>();
      for (JsonNode o : get(base.resolve("/history")).path("orders")) {
        if (o.path("kind").asText().equals("load")) {
          loads.add(
              new EngineState.LoadOrder(
                  o.path("artifact").asText(),
                  o.path("fencingNumber").asLong(),
                  o.path("status").asInt()));
        }
      }
      JsonNode v = get(base.resolve("/stats")).path("violations");
      long count = v.path("memoryOvercommits").asLong() + v.path("unloadsWhileRunning").asLong();
      result.add(new EngineState(engine, report.path("incarnation").asText(), held, loads, count));
    }
    return result;
  }

  /** Reads the whole decisions stream. */
  ReplicaCheck decisions() throws Exception {
    Map<EndpointName, Long> capacity = new HashMap<>();
    site.engines().forEach(e -> capacity.put(EndpointName.of(e), ENGINE_MB));
    ReplicaCheck check = new ReplicaCheck(capacity);
    URI page = site.standInUrl("log").resolve("/log/decisions?from=0&max=100000&wait_ms=0");
    for (JsonNode r : get(page).path("records")) {
      DecisionRecord record = Json.decode(r.path("value").binaryValue(), DecisionRecord.class);
      check.record(r.path("offset").asLong(), r.path("time_ms").asLong(), record);
    }
    return check;
  }

  /** Compares engines and decisions until they agree, or returns what still differs. */
  List<String> replicaFaults() throws Exception {
    long start = System.nanoTime();
    while (true) {
      List<EngineState> engines = engines();
      List<String> faults = decisions().violations(engines);
      if (faults.isEmpty() || System.nanoTime() - start > SETTLE_LIMIT.toNanos()) {
        return faults;
      }
      Thread.sleep(POLL_MS);
    }
  }

  @Override
  public void close() {
    site.close();
  }

  private void awaitInForce() throws Exception {
    try (ChatClient caller = new ChatClient(CALL_TIMEOUT)) {
      for (SiteVm vm : vms()) {
        URI page = vm.callerUrl().resolve("/v1/models");
        await(
            "ticket 1 at " + vm.id(),
            IN_FORCE_TIMEOUT,
            () -> caller.get(page, Optional.of(KEY)).status() == 200);
      }
    }
  }

  private JsonNode get(URI page) throws Exception {
    HttpRequest get = HttpRequest.newBuilder(page).timeout(CALL_TIMEOUT).build();
    HttpResponse<byte[]> r = http.send(get, HttpResponse.BodyHandlers.ofByteArray());
    if (r.statusCode() != 200) {
      throw new IOException(page + " answers " + r.statusCode());
    }
    return Json.mapper().readTree(r.body());
  }
}
