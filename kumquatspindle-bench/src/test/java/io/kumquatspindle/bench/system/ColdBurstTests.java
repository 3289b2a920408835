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

/** Guards C1 and C3: a burst of first requests that loads more than was decided or is dropped. */
@DisplayName("First requests for idle models at all VMs at once")
class ColdBurstTests {
  private static final int REQUESTS = 80;
  private static final int TOKENS = 4;
  private static final Duration DEADLINE = Duration.ofSeconds(15);
  @TempDir static Path dir;
  private static RequestSite site;

  @BeforeAll
  static void start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .vmsPerDomain(2)
            .endpoints(3, 0)
            .standInSetting("store.megabytes_per_second", 2_000);
    site =
        RequestSite.start(
            b,
            List.of(
                RequestSite.model("one", 2_000, 1),
                RequestSite.model("many", 2_000, 2),
                RequestSite.model("failing", 2_000, 1)),
            UnaryOperator.identity());
  }

  @AfterAll
  static void stop() {
    if (site != null) {
      site.close();
    }
  }

  @Test
  @DisplayName("lead to one load of a model with one replica, and all are served in time")
  void oneReplica() throws Exception {
    List<Observation> run = burst("one", DEADLINE);
    assertEquals(REQUESTS, run.stream().filter(o -> o.reply().end() == End.COMPLETE).count());
    assertLoads("one", 1);
  }

  @Test
  @DisplayName("lead to no more loads than decided of a model with two replicas")
  void twoReplicas() throws Exception {
    List<Observation> run = burst("many", DEADLINE);
    assertEquals(REQUESTS, run.stream().filter(o -> o.reply().end() == End.COMPLETE).count());
    long decided = site.decisions().acceptedLoadCount("many");
    assertTrue(decided >= 1 && decided <= 2, "decided " + decided);
    assertLoads("many", decided);
  }

  @Test
  @DisplayName("are refused in time as not run while every load fails, and served afterwards")
  void failingLoads() throws Exception {
    for (String engine : site.site.engines()) {
      site.faults(engine, "{\"failLoads\":true}");
    }
    List<Observation> run = burst("failing", Duration.ofSeconds(4));
    assertEquals(REQUESTS, run.stream().filter(Observation::saysNotRun).count());
    site.endFaults();
    site.awaitServed("failing", DEADLINE);
    RequestSite.assertNone(site.replicaFaults());
  }

  private static List<Observation> burst(String model, Duration deadline) throws Exception {
    RunHistory history = new RunHistory();
    try (RequestClient client = new RequestClient(history, RequestSite.KEY);
        Load load = new Load()) {
      load.once(
          REQUESTS,
          i -> {
            ChatRequest chat = new ChatRequest(model, model + " " + i, TOKENS);
            client.chat("c" + i, site.vms().get(i % site.vms().size()), chat, deadline);
          });
      load.end(deadline.plusSeconds(15));
    }
    List<Observation> run = history.observations();
    RequestSite.assertNone(AnswerCheck.violations(run));
    RequestSite.assertNone(new DeadlineCheck(RequestSite.MARGIN_MS, Set.of()).violations(run));
    long slowest =
        run.stream().mapToLong(o -> o.endedMs().getAsLong() - o.invokedMs()).max().orElse(0);
    System.out.println(model + ": " + run.size() + " requests, slowest after " + slowest + " ms");
    return run;
  }

  private static void assertLoads(String model, long expected) throws Exception {
    List<EngineState> engines = site.engines();
    ReplicaCheck decisions = site.decisions();
    RequestSite.assertNone(decisions.violations(engines));
    assertEquals(expected, decisions.acceptedLoadCount(model), "decided");
    long loads =
        engines.stream()
            .flatMap(e -> e.loads().stream())
            .filter(o -> o.artifact().equals(model))
            .count();
    assertEquals(expected, loads, "load orders");
  }
}
