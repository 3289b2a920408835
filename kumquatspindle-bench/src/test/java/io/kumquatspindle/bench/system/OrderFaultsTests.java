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

/**
 * Guards against replicas without a load decision (C1) and engines with overcommitted memory (C2),
 * when controls are killed or paused and engines lose, delay or ignore parts of their orders.
 */
@DisplayName("Orders from killed or paused controls to faulty engines")
class OrderFaultsTests {
  private static final int MODELS = 4;
  private static final int CALLERS = 8;
  private static final int ROUNDS = 5;
  private static final long MODEL_MB = 30_000; // Two fit on an engine.
  private static final Duration DEADLINE = Duration.ofSeconds(4);

  // A model whose load order was lost is loaded again only after the settle time of the order and
  // a report of the engine.
  private static final Duration SERVED_TIMEOUT = Duration.ofSeconds(40);
  private static final String[] ENGINE_FAULTS = {
    "{\"loseOrderAnswer\":true,\"remaining\":1}",
    "{\"ignoreFencing\":true,\"orderDelayMs\":700}",
    "{\"orderDelayMs\":1500,\"remaining\":2}",
    "{\"failLoads\":true,\"remaining\":1}",
    "{\"restart\":true}"
  };

  @TempDir Path dir;
  private final List<String> sampledViolations = new CopyOnWriteArrayList<>();
  private ConfiguredTestSite site;

  @Test
  @DisplayName("never cause more replicas than decided, and every model is served afterwards")
  void replicasAsDecided() throws Exception {
    Random random = ConfiguredTestSite.seededRandom("OrderFaultsTests");
    RunHistory history = new RunHistory();
    try (ConfiguredTestSite started = start();
        RecordingClient client = new RecordingClient(history, ConfiguredTestSite.KEY);
        LoadGenerator load = new LoadGenerator()) {
      site = started;
      load.sendRepeatedly(CALLERS, i -> sendChat(client, history, i));
      load.sendRepeatedly(1, i -> sampleReplicas());
      for (int i = 0; i < ROUNDS; i++) {
        injectFaults(random);
      }
      site.clearFaults();
      load.stopAndAwait(DEADLINE.plusSeconds(15));
      for (ModelSpec m : models()) {
        site.awaitServed(m.name().value(), SERVED_TIMEOUT);
      }
      ConfiguredTestSite.assertNoViolations(sampledViolations);
      ConfiguredTestSite.assertNoViolations(site.settledReplicaViolations());
      ConfiguredTestSite.assertNoViolations(AnswerCheck.violations(history.observations()));
      DeadlineCheck deadlines = new DeadlineCheck(ConfiguredTestSite.DEADLINE_MARGIN_MS, Set.of());
      ConfiguredTestSite.assertNoViolations(deadlines.violations(history.observations()));
    }
  }

  private ConfiguredTestSite start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .endpoints(3, 0)
            .standInSetting("store.megabytes_per_second", 30_000);
    return ConfiguredTestSite.start(b, models(), OrderFaultsTests::secondEngineWithoutFencing);
  }

  private static List<ModelSpec> models() {
    return IntStream.range(0, MODELS)
        .mapToObj(i -> ConfiguredTestSite.modelSpec("model-" + i, MODEL_MB, 1))
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

  private void sendChat(RecordingClient client, RunHistory history, int caller) {
    String model = "model-" + caller % MODELS;
    String prompt = caller + " " + history.observations().size();
    SiteVm vm = site.vms().get(caller / MODELS % site.vms().size());
    client.chat("c" + caller, vm, new ChatRequest(model, prompt, 4), DEADLINE);
  }

  private void sampleReplicas() {
    try {
      List<EngineState> first = site.engineStates();
      Map<ArtifactName, Integer> limits =
          models().stream().collect(Collectors.toMap(ModelSpec::name, ModelSpec::maxReplicas));
      sampledViolations.addAll(ReplicaCheck.violations(first, site.engineStates(), limits));
    } catch (Exception e) {
      // A restarting engine closes its connections; the next sample reads it again.
    }
  }

  /** Injects a fault into one engine while one control is restarted or paused. */
  private void injectFaults(Random random) throws Exception {
    String engine = site.testSite.engines().get(random.nextInt(3));
    SiteVm vm = site.vms().get(random.nextInt(site.vms().size()));
    site.setFaults(engine, ENGINE_FAULTS[random.nextInt(ENGINE_FAULTS.length)]);
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
