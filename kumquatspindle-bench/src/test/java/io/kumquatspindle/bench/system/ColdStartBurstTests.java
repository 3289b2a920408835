package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.bench.check.AnswerCheck;
import io.kumquatspindle.bench.check.DeadlineCheck;
import io.kumquatspindle.bench.check.EngineState;
import io.kumquatspindle.bench.check.Observation;
import io.kumquatspindle.bench.check.Observation.End;
import io.kumquatspindle.bench.check.ReplicaCheck;
import io.kumquatspindle.bench.check.RunHistory;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.TestSite;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a burst of cold-start requests that causes more model loads than the log has
 * decisions for (C1), or whose requests are neither served nor refused by their deadline (C3).
 */
@DisplayName("Concurrent cold-start requests for a model at all VMs")
class ColdStartBurstTests {
  private static final int REQUESTS = 80;
  private static final int TOKENS = 4;
  private static final Duration DEADLINE = Duration.ofSeconds(15);
  @TempDir static Path dir;
  private static ConfiguredTestSite site;

  @BeforeAll
  static void start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .vmsPerDomain(2)
            .endpoints(3, 0)
            .standInSetting("store.megabytes_per_second", 2_000);
    site =
        ConfiguredTestSite.start(
            b,
            List.of(
                ConfiguredTestSite.modelSpec("one", 2_000, 1),
                ConfiguredTestSite.modelSpec("many", 2_000, 2),
                ConfiguredTestSite.modelSpec("failing", 2_000, 1)),
            UnaryOperator.identity());
  }

  @AfterAll
  static void stop() {
    if (site != null) {
      site.close();
    }
  }

  @Test
  @DisplayName("cause one load of a model with one replica, and are all served in time")
  void oneReplica() throws Exception {
    List<Observation> run = sendBurst("one", DEADLINE);
    assertEquals(REQUESTS, run.stream().filter(o -> o.reply().end() == End.COMPLETE).count());
    assertLoads("one", 1);
  }

  @Test
  @DisplayName("cause no more loads than decided of a model with up to two replicas")
  void twoReplicas() throws Exception {
    List<Observation> run = sendBurst("many", DEADLINE);
    assertEquals(REQUESTS, run.stream().filter(o -> o.reply().end() == End.COMPLETE).count());
    long loadDecisions = site.readDecisions().acceptedLoadCount("many");
    assertTrue(loadDecisions >= 1 && loadDecisions <= 2, "decided " + loadDecisions);
    assertLoads("many", loadDecisions);
  }

  @Test
  @DisplayName("are refused as not run in time while all loads fail, and served afterwards")
  void failingLoads() throws Exception {
    for (String engine : site.testSite.engines()) {
      site.setFaults(engine, "{\"failLoads\":true}");
    }
    List<Observation> run = sendBurst("failing", Duration.ofSeconds(4));
    assertEquals(REQUESTS, run.stream().filter(Observation::saysNotRun).count());
    site.clearFaults();
    site.awaitServed("failing", DEADLINE);
    ConfiguredTestSite.assertNoViolations(site.settledReplicaViolations());
  }

  private static List<Observation> sendBurst(String model, Duration deadline) throws Exception {
    RunHistory history = new RunHistory();
    try (RecordingClient client = new RecordingClient(history, ConfiguredTestSite.KEY);
        LoadGenerator load = new LoadGenerator()) {
      load.sendOnce(
          REQUESTS,
          i -> {
            ChatRequest chat = new ChatRequest(model, model + " " + i, TOKENS);
            client.chat("c" + i, site.vms().get(i % site.vms().size()), chat, deadline);
          });
      load.stopAndAwait(deadline.plusSeconds(15));
    }
    List<Observation> run = history.observations();
    ConfiguredTestSite.assertNoViolations(AnswerCheck.violations(run));
    ConfiguredTestSite.assertNoViolations(
        new DeadlineCheck(ConfiguredTestSite.DEADLINE_MARGIN_MS, Set.of()).violations(run));
    long slowest =
        run.stream().mapToLong(o -> o.endedMs().getAsLong() - o.invokedMs()).max().orElse(0);
    System.out.println(model + ": " + run.size() + " requests, slowest after " + slowest + " ms");
    return run;
  }

  private static void assertLoads(String model, long expected) throws Exception {
    List<EngineState> engines = site.engineStates();
    ReplicaCheck decisions = site.readDecisions();
    ConfiguredTestSite.assertNoViolations(decisions.violations(engines));
    assertEquals(expected, decisions.acceptedLoadCount(model), "decided");
    long loads =
        engines.stream()
            .flatMap(e -> e.loads().stream())
            .filter(o -> o.artifact().equals(model))
            .count();
    assertEquals(expected, loads, "load orders");
  }
}
