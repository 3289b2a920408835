package io.kumquatspindle.bench.demo;

import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.demo.Steps.Outcome;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.Pause;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Runs the demo: starts a small site, files tickets, sends requests and stops the site, with checks
 * after each step.
 */
final class Demo {
  private static final String MODEL = "gas-notice-7b";
  private static final long MODEL_MB = 2_000;
  private static final int ANSWER_TOKENS = 8;
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration PROCESS_EXIT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final BuildTree tree;
  private final Path directory;
  private final Steps steps;
  private final String key = "demo-key-" + UUID.randomUUID();
  private TestSite site;
  private OperatorCommand operator;

  Demo(BuildTree tree, Path directory, PrintStream out) {
    this.tree = tree;
    this.directory = directory;
    this.steps = new Steps(out);
  }

  /** Runs all steps and returns whether every one succeeded. */
  boolean run() {
    try (ChatClient client = new ChatClient(REQUEST_TIMEOUT)) {
      if (steps.run("start 2 failure domains with 1 VM each", this::startSite)) {
        runScenario(client);
        steps.run("stop all by SIGTERM, every process exits with 0", this::stopSite);
      }
    } finally {
      if (site != null) {
        site.close();
        steps.run("no process is left", this::checkNoProcessLeft);
      }
    }
    return steps.summarize();
  }

  private void runScenario(ChatClient client) {
    SiteVm first = site.vms().get(0);
    SiteVm second = site.vms().get(1);
    ModelSpec model = new ModelSpec(ArtifactName.of(MODEL), MODEL_MB, 1);
    Ticket ticket = SiteTickets.initialTicket(site, key, List.of(model));
    if (!steps.run("file ticket 1", () -> file(ticket))
        || !steps.run("ticket 1 is in force on every VM", () -> awaitStatus(client, 200))) {
      return;
    }
    steps.run(
        "streamed request to the cold model", () -> sendRequest(client, first, "first closure"));
    steps.run(
        "streamed request to the warm model", () -> sendRequest(client, first, "second closure"));
    steps.run("the same through the other VM", () -> sendRequest(client, second, "third closure"));
    steps.run("no engine saw the caller's key", () -> checkKeyNotForwarded(client));
    steps.run("no engine counted a violation", () -> checkNoViolations(client));
    if (steps.run("withdraw the key by ticket 2", () -> file(SiteTickets.withdrawKey(2, key)))) {
      steps.run("the key is refused on every VM", () -> awaitStatus(client, 401));
    }
  }

  private Outcome startSite() throws IOException {
    site =
        TestSite.builder(tree, directory)
            .domains("domain-a", "domain-b")
            .endpoints(2, 1)
            .standInSetting("engines.first_token_ms", 50)
            .standInSetting("store.megabytes_per_second", 1000)
            .start();
    operator = new OperatorCommand(tree, site);
    return Outcome.ok("2 entries, 2 controls, 1 process of stand-ins");
  }

  private Outcome file(Ticket ticket) throws IOException {
    OperatorCommand.Result r = operator.file(ticket);
    return Outcome.of(r.succeeded(), r.succeeded() ? "" : r.status() + " " + r.output());
  }

  /** Waits until every VM answers a request for the model list with the given status. */
  private Outcome awaitStatus(ChatClient client, int status) throws IOException {
    long start = System.nanoTime();
    for (SiteVm vm : site.vms()) {
      URI page = vm.callerUrl().resolve("/v1/models");
      int lastStatus = client.get(page, Optional.of(key)).status();
      while (lastStatus != status) {
        if (System.nanoTime() - start > IN_FORCE_TIMEOUT.toNanos()) {
          return Outcome.failed(vm.id() + " still answers " + lastStatus);
        }
        Pause.sleep(POLL_INTERVAL);
        lastStatus = client.get(page, Optional.of(key)).status();
      }
    }
    return Outcome.ok("after " + millisSince(start) + " ms");
  }

  private Outcome sendRequest(ChatClient client, SiteVm vm, String prompt) throws IOException {
    ChatRequest request = new ChatRequest(MODEL, prompt, ANSWER_TOKENS);
    long start = System.nanoTime();
    ChatReply reply = client.send(vm.callerUrl(), Optional.of(key), request);
    if (!reply.isCompleteResponseTo(request)) {
      return Outcome.failed(reply.toString());
    }
    long ms = TimeUnit.NANOSECONDS.toMillis(reply.firstTokenNanos() - start);
    return Outcome.ok("first token after " + ms + " ms, complete response to this request");
  }

  private Outcome checkKeyNotForwarded(ChatClient client) throws IOException {
    for (String engine : site.engines()) {
      if (client
          .get(site.standInUrl(engine).resolve("/history"), Optional.empty())
          .body()
          .contains(key)) {
        return Outcome.failed("seen by " + engine);
      }
    }
    return Outcome.ok("");
  }

  private Outcome checkNoViolations(ChatClient client) throws IOException {
    for (String engine : site.engines()) {
      String stats = client.get(site.standInUrl(engine).resolve("/stats"), Optional.empty()).body();
      for (var v : Json.mapper().readTree(stats).path("violations")) {
        if (v.asLong() != 0) {
          return Outcome.failed(engine + " " + stats);
        }
      }
    }
    return Outcome.ok("");
  }

  private Outcome stopSite() {
    Map<String, OptionalInt> exitStatuses = site.stop();
    boolean allZero = exitStatuses.values().stream().allMatch(s -> s.equals(OptionalInt.of(0)));
    return Outcome.of(
        allZero, allZero ? exitStatuses.size() + " processes" : exitStatuses.toString());
  }

  private Outcome checkNoProcessLeft() throws IOException {
    long start = System.nanoTime();
    List<ProcessHandle> remaining = liveDescendants();
    // The watchdog shells end shortly after the processes that they watch.
    while (!remaining.isEmpty() && System.nanoTime() - start < PROCESS_EXIT_TIMEOUT.toNanos()) {
      Pause.sleep(POLL_INTERVAL);
      remaining = liveDescendants();
    }
    return Outcome.of(remaining.isEmpty(), remaining.isEmpty() ? "" : remaining.toString());
  }

  private static List<ProcessHandle> liveDescendants() {
    return ProcessHandle.current().descendants().filter(ProcessHandle::isAlive).toList();
  }

  private static long millisSince(long start) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }
}
