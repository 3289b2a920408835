package io.kumquatspindle.bench.measure;

import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Run of a workload against the real programs with one policy. */
final class MeasurementRun {
  private static final int DEADLINE_MS = 15_000;
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(10);
  private static final long IDLE_LIMIT_MS = 20_000;
  private static final long ENGINE_HISTORY_SIZE = 100_000;

  private final Deployment deployment;
  private final Policy policy;
  private final Fault fault;
  private final List<Arrival> arrivals;

  MeasurementRun(Deployment deployment, Policy policy, Fault fault, List<Arrival> arrivals) {
    this.deployment = deployment;
    this.policy = policy;
    this.fault = fault;
    this.arrivals = arrivals;
  }

  RunFigures run(BuildTree tree, Path directory) throws IOException, InterruptedException {
    try (TestSite site = startSite(tree, directory);
        ChatClient client = new ChatClient(RESPONSE_TIMEOUT)) {
      OperatorCommand.Result filed =
          new OperatorCommand(tree, site).file(DeploymentTickets.initialTicket(deployment, site));
      if (!filed.succeeded()) {
        throw new IOException("cannot file the first ticket: " + filed.output());
      }
      awaitInForce(site, client);
      long startEpochMs = System.currentTimeMillis();
      List<RequestOutcome> outcomes = send(site, client);
      long endMs = System.currentTimeMillis() - startEpochMs;
      EngineHistories engines = EngineHistories.read(site, client, startEpochMs, endMs);
      return RunFigures.of(policy, deployment, outcomes, engines);
    }
  }

  private TestSite startSite(BuildTree tree, Path directory) throws IOException {
    TestSite.Builder b =
        TestSite.builder(tree, directory)
            .domains(deployment.domains().toArray(String[]::new))
            .vmsPerDomain(deployment.vmsPerDomain())
            .endpoints(deployment.engines(), deployment.services())
            .standInSetting("engines.memory_mb", Deployment.ENGINE_MEMORY_MB)
            .standInSetting("engines.first_token_ms", Deployment.FIRST_TOKEN_MS)
            .standInSetting("engines.per_token_ms", Deployment.PER_TOKEN_MS)
            .standInSetting("engines.history", ENGINE_HISTORY_SIZE)
            .standInSetting("engines.adapter_load_min_ms", deployment.adapterLoadMinMs())
            .standInSetting("engines.adapter_load_max_ms", deployment.adapterLoadMaxMs())
            .standInSetting("store.megabytes_per_second", Deployment.STORE_MB_PER_SECOND)
            .standInSetting("store.transfers_at_once", Deployment.MAX_STORE_TRANSFERS)
            .standInSetting("store.loads_per_minute", deployment.storeLoadsPerMinute())
            .entrySetting("limits.default_deadline_ms", DEADLINE_MS)
            .controlSetting("placement.idle_limit_ms", IDLE_LIMIT_MS);
    policy.controlSettings().forEach(b::controlSetting);
    if (fault == Fault.DOMAIN_CUT) {
      b.platformRelays().peerRelays();
    }
    return b.start();
  }

  private static void awaitInForce(TestSite site, ChatClient client)
      throws IOException, InterruptedException {
    Optional<String> key = Optional.of(DeploymentTickets.key(0));
    long end = System.nanoTime() + IN_FORCE_TIMEOUT.toNanos();
    for (SiteVm vm : site.vms()) {
      while (client.get(vm.callerUrl().resolve("/v1/models"), key).status() != 200) {
        if (System.nanoTime() > end) {
          throw new IOException("the first ticket is not in force on " + vm.id());
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
  }

  private List<RequestOutcome> send(TestSite site, ChatClient client)
      throws IOException, InterruptedException {
    FaultInjector injector = new FaultInjector(site, fault);
    long lastMs = arrivals.get(arrivals.size() - 1).timeMs();
    boolean injected = false;
    boolean cleared = false;
    long start = System.nanoTime();
    List<CompletableFuture<RequestOutcome>> pending = new ArrayList<>();
    for (Arrival a : arrivals) {
      if (!injected && a.timeMs() >= lastMs / 4) {
        injected = true;
        injector.inject();
      }
      if (!cleared && a.timeMs() >= lastMs * 3 / 4) {
        cleared = true;
        injector.clear();
      }
      sleepUntil(start + TimeUnit.MILLISECONDS.toNanos(a.timeMs()));
      pending.add(send(site, client, a, start));
    }
    List<RequestOutcome> outcomes = new ArrayList<>();
    pending.forEach(f -> outcomes.add(f.join()));
    return outcomes;
  }

  private static CompletableFuture<RequestOutcome> send(
      TestSite site, ChatClient client, Arrival a, long start) {
    SiteVm vm = site.vms().get(a.vm());
    Optional<String> key = Optional.of(DeploymentTickets.key(a.customer()));
    ChatRequest request = new ChatRequest(a.artifact(), a.prompt(), a.maxTokens());
    return client
        .sendAsync(vm.callerUrl(), key, request)
        .handle(
            (reply, e) ->
                e == null ? outcome(a, request, reply, start) : connectionFailed(a, start));
  }

  private static RequestOutcome outcome(
      Arrival a, ChatRequest request, ChatReply reply, long start) {
    long first = reply.firstTokenNanos() == 0 ? -1 : sinceMs(start, reply.firstTokenNanos());
    return new RequestOutcome(
        a,
        first,
        sinceMs(start, reply.endNanos()),
        reply.isCompleteResponseTo(request),
        reply.errorCode());
  }

  private static RequestOutcome connectionFailed(Arrival a, long start) {
    return new RequestOutcome(
        a, -1, sinceMs(start, System.nanoTime()), false, Optional.of("connection_failed"));
  }

  private static long sinceMs(long start, long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos - start);
  }

  private static void sleepUntil(long dueNanos) {
    for (long remaining = dueNanos - System.nanoTime();
        remaining > 0;
        remaining = dueNanos - System.nanoTime()) {
      LockSupport.parkNanos(remaining);
    }
  }
}
