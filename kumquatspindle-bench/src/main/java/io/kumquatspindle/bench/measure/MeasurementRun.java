package io.kumquatspindle.bench.measure;

import io.kumquatspindle.bench.caller.Caller;
import io.kumquatspindle.bench.caller.ChatReply;
import io.kumquatspindle.bench.caller.ChatRequest;
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

/** One run of a workload against the real programs under one policy. */
final class MeasurementRun {
  private static final int DEADLINE_MS = 15_000;
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(10);
  private static final long IDLE_LIMIT_MS = 20_000;
  private static final long HISTORY = 100_000;

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
    try (TestSite site = site(tree, directory);
        Caller caller = new Caller(ANSWER_TIMEOUT)) {
      OperatorCommand.Result filed =
          new OperatorCommand(tree, site).file(DeploymentTickets.first(deployment, site));
      if (!filed.succeeded()) {
        throw new IOException("the ticket was not accepted: " + filed.output());
      }
      awaitInForce(site, caller);
      long startEpochMs = System.currentTimeMillis();
      List<Served> served = send(site, caller);
      long endMs = System.currentTimeMillis() - startEpochMs;
      EngineHistories engines = EngineHistories.read(site, caller, startEpochMs, endMs);
      return RunFigures.of(policy, deployment, served, engines);
    }
  }

  private TestSite site(BuildTree tree, Path directory) throws IOException {
    TestSite.Builder b =
        TestSite.builder(tree, directory)
            .domains(deployment.domains().toArray(String[]::new))
            .vmsPerDomain(deployment.vmsPerDomain())
            .endpoints(deployment.engines(), deployment.services())
            .standIns("engines.memory_mb", Deployment.ENGINE_MEMORY_MB)
            .standIns("engines.first_token_ms", Deployment.FIRST_TOKEN_MS)
            .standIns("engines.per_token_ms", Deployment.PER_TOKEN_MS)
            .standIns("engines.history", HISTORY)
            .standIns("engines.adapter_load_min_ms", deployment.adapterLoadMinMs())
            .standIns("engines.adapter_load_max_ms", deployment.adapterLoadMaxMs())
            .standIns("store.megabytes_per_second", Deployment.STORE_MB_PER_SECOND)
            .standIns("store.transfers_at_once", Deployment.STORE_TRANSFERS_AT_ONCE)
            .standIns("store.loads_per_minute", deployment.storeLoadsPerMinute())
            .entry("limits.default_deadline_ms", DEADLINE_MS)
            .control("placement.idle_limit_ms", IDLE_LIMIT_MS);
    policy.controlSettings().forEach(b::control);
    if (fault == Fault.DOMAIN_CUT) {
      b.platformRelays().peerRelays();
    }
    return b.start();
  }

  private static void awaitInForce(TestSite site, Caller caller)
      throws IOException, InterruptedException {
    Optional<String> key = Optional.of(DeploymentTickets.key(0));
    long end = System.nanoTime() + IN_FORCE_TIMEOUT.toNanos();
    for (SiteVm vm : site.vms()) {
      while (caller.get(vm.callers().resolve("/v1/models"), key).status() != 200) {
        if (System.nanoTime() > end) {
          throw new IOException("the ticket is not in force at " + vm.id());
        }
        TimeUnit.MILLISECONDS.sleep(50);
      }
    }
  }

  private List<Served> send(TestSite site, Caller caller) throws IOException, InterruptedException {
    FaultSwitch faults = new FaultSwitch(site, fault);
    long lastMs = arrivals.get(arrivals.size() - 1).timeMs();
    boolean on = false;
    boolean off = false;
    long start = System.nanoTime();
    List<CompletableFuture<Served>> open = new ArrayList<>();
    for (Arrival a : arrivals) {
      if (!on && a.timeMs() >= lastMs / 4) {
        on = true;
        faults.on();
      }
      if (!off && a.timeMs() >= lastMs * 3 / 4) {
        off = true;
        faults.off();
      }
      sleepUntil(start + TimeUnit.MILLISECONDS.toNanos(a.timeMs()));
      open.add(send(site, caller, a, start));
    }
    List<Served> served = new ArrayList<>();
    open.forEach(f -> served.add(f.join()));
    return served;
  }

  private static CompletableFuture<Served> send(
      TestSite site, Caller caller, Arrival a, long start) {
    SiteVm vm = site.vms().get(a.vm());
    Optional<String> key = Optional.of(DeploymentTickets.key(a.customer()));
    ChatRequest request = new ChatRequest(a.artifact(), a.prompt(), a.maxTokens());
    return caller
        .sendAsync(vm.callers(), key, request)
        .handle((reply, e) -> e == null ? served(a, request, reply, start) : broken(a, start));
  }

  private static Served served(Arrival a, ChatRequest request, ChatReply reply, long start) {
    long first = reply.firstTokenNanos() == 0 ? -1 : sinceMs(start, reply.firstTokenNanos());
    return new Served(
        a, first, sinceMs(start, reply.endNanos()), reply.answers(request), reply.errorCode());
  }

  private static Served broken(Arrival a, long start) {
    return new Served(
        a, -1, sinceMs(start, System.nanoTime()), false, Optional.of("connection_failed"));
  }

  private static long sinceMs(long start, long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos - start);
  }

  private static void sleepUntil(long due) {
    for (long rest = due - System.nanoTime(); rest > 0; rest = due - System.nanoTime()) {
      LockSupport.parkNanos(rest);
    }
  }
}
