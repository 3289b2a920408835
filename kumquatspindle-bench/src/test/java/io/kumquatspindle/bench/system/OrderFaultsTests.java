package io.kumquatspindle.bench.system;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.bench.check.AnswerCheck;
import io.kumquatspindle.bench.check.DeadlineCheck;
import io.kumquatspindle.bench.check.EngineState;
import io.kumquatspindle.bench.check.ReplicaCheck;
import io.kumquatspindle.bench.check.RunHistory;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards C1 and C2: replicas that were not decided, and engines whose memory is overcommitted. */
@DisplayName("Orders of controls that are killed or paused, to endpoints with faults")
class OrderFaultsTests {
  private static final int MODELS = 4;
  private static final int CALLERS = 8;
  private static final int ROUNDS = 5;
  private static final long MODEL_MB = 30_000; // Two fit on an engine.
  private static final Duration DEADLINE = Duration.ofSeconds(4);

  // A model whose order was lost is loaded again after the order's settling time and a report.
  private static final Duration SERVED = Duration.ofSeconds(40);
  private static final String[] ENGINE_FAULTS = {
    "{\"loseOrderAnswer\":true,\"remaining\":1}",
    "{\"ignoreFencing\":true,\"orderDelayMs\":700}",
    "{\"orderDelayMs\":1500,\"remaining\":2}",
    "{\"failLoads\":true,\"remaining\":1}",
    "{\"restart\":true}"
  };

  @TempDir Path dir;
  private final List<String> sampled = new CopyOnWriteArrayList<>();
  private RequestSite site;

  @Test
  @DisplayName("never lead to more replicas than decided, and every model is served again")
  void replicasAsDecided() throws Exception {
    Random random = RequestSite.random("OrderFaultsTests");
    RunHistory history = new RunHistory();
    try (RequestSite started = start();
        RequestClient client = new RequestClient(history, RequestSite.KEY);
        Load load = new Load()) {
      site = started;
      load.start(CALLERS, i -> ask(client, history, i));
      load.start(1, i -> sample());
      for (int i = 0; i < ROUNDS; i++) {
        disturb(random);
      }
      site.endFaults();
      load.end(DEADLINE.plusSeconds(15));
      for (ModelSpec m : models()) {
        site.awaitServed(m.name().value(), SERVED);
      }
      RequestSite.assertNone(sampled);
      RequestSite.assertNone(site.replicaFaults());
      RequestSite.assertNone(AnswerCheck.violations(history.observations()));
      DeadlineCheck deadlines = new DeadlineCheck(RequestSite.MARGIN_MS, Set.of());
      RequestSite.assertNone(deadlines.violations(history.observations()));
    }
  }

  private RequestSite start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .endpoints(3, 0)
            .standInSetting("store.megabytes_per_second", 30_000);
    return RequestSite.start(b, models(), OrderFaultsTests::secondEngineWithoutFencing);
  }

  private static List<ModelSpec> models() {
    return IntStream.range(0, MODELS)
        .mapToObj(i -> RequestSite.model("model-" + i, MODEL_MB, 1))
        .toList();
  }

  private static Ticket secondEngineWithoutFencing(Ticket t) {
    List<EndpointSpec> endpoints =
        t.endpoints().stream()
            .map(
                e ->
                    new EndpointSpec(
                        e.name(),
                        e.failureDomain(),
                        e.url(),
                        e.kind(),
                        e.memoryMb(),
                        !e.name().value().equals("engine-2"),
                        e.leaving()))
            .toList();
    return new Ticket(
        t.number(),
        t.filing(),
        t.author(),
        t.comment(),
        t.models(),
        t.adapters(),
        t.customers(),
        t.keys(),
        endpoints,
        t.services(),
        t.openRoutes(),
        t.limits(),
        t.remove());
  }

  private void ask(RequestClient client, RunHistory history, int caller) {
    String model = "model-" + caller % MODELS;
    String prompt = caller + " " + history.observations().size();
    SiteVm vm = site.vms().get(caller / MODELS % site.vms().size());
    client.chat("c" + caller, vm, new ChatRequest(model, prompt, 4), DEADLINE);
  }

  private void sample() {
    try {
      List<EngineState> first = site.engines();
      Map<ArtifactName, Integer> limits =
          models().stream().collect(Collectors.toMap(ModelSpec::name, ModelSpec::maxReplicas));
      sampled.addAll(ReplicaCheck.violations(first, site.engines(), limits));
    } catch (Exception e) {
      // An engine that restarts breaks its connections; the next look tells again.
    }
  }

  /** Disturbs one control and one engine, then lets the control go on. */
  private void disturb(Random random) throws Exception {
    String engine = site.site.engines().get(random.nextInt(3));
    SiteVm vm = site.vms().get(random.nextInt(site.vms().size()));
    site.faults(engine, ENGINE_FAULTS[random.nextInt(ENGINE_FAULTS.length)]);
    if (random.nextInt(4) == 0) {
      vm.control().close();
      Thread.sleep(random.nextInt(500));
      vm.startControl();
      vm.awaitReady();
    } else {
      vm.control().pause();
      Thread.sleep(500 + random.nextInt(1500));
      vm.control().resume();
    }
  }
}
