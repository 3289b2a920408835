package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.bench.check.AnswerCheck;
import io.kumquatspindle.bench.check.DeadlineCheck;
import io.kumquatspindle.bench.check.Observation;
import io.kumquatspindle.bench.check.Observation.End;
import io.kumquatspindle.bench.check.RunHistory;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards C3: requests that wait for ever, and warm models that stop with the platform. */
@DisplayName("Requests during outages")
class OutageTests {
  private static final String WARM = "warm";
  private static final int CALLERS = 8;
  private static final Duration DEADLINE = Duration.ofSeconds(3);
  private static final Duration SERVED = Duration.ofSeconds(30);
  @TempDir static Path dir;
  private static RequestSite site;

  /** One thing that is done while requests wait. */
  private interface Disturbance {
    void apply() throws Exception;
  }

  @BeforeAll
  static void start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .vmsPerDomain(2)
            .endpoints(2, 0)
            .standInSetting("store.megabytes_per_second", 20_000);
    site =
        RequestSite.start(
            b,
            List.of(
                RequestSite.model(WARM, 1_000, 1),
                RequestSite.model("cold-log", 2_000, 1),
                RequestSite.model("cold-store", 10_000, 1),
                RequestSite.model("cold-control", 10_000, 1)),
            UnaryOperator.identity());
    site.awaitServed(WARM, SERVED);
  }

  @AfterAll
  static void stop() {
    if (site != null) {
      site.close();
    }
  }

  @AfterEach
  void heal() throws Exception {
    site.endFaults();
    for (SiteVm vm : site.vms()) {
      if (!vm.control().isAlive()) {
        vm.startControl();
        vm.awaitReady();
      }
    }
  }

  @Test
  @DisplayName("are answered in time with the log out, and the cold model is served afterwards")
  void logOut() throws Exception {
    site.faults("log", "{\"out\":true}");
    List<Observation> cold = run("cold-log", () -> {});
    assertEquals(List.of(), cold.stream().filter(o -> !o.saysNotRun()).toList());
    site.endFaults();
    site.awaitServed("cold-log", SERVED);
  }

  @Test
  @DisplayName("are answered in time with a slow weight store")
  void storeSlow() throws Exception {
    site.faults("store", "{\"speedFactor\":0.02}");
    List<Observation> cold = run("cold-store", () -> {});
    assertTrue(cold.stream().allMatch(Observation::saysNotRun), cold::toString);
  }

  @Test
  @DisplayName("are answered in time when a control of each domain is killed while they wait")
  void controlsKilled() throws Exception {
    site.faults("store", "{\"speedFactor\":0.1}");
    run(
        "cold-control",
        () -> {
          // One of each failure domain; VMs are dealt to the domains in turn.
          site.vms().get(0).control().close();
          site.vms().get(1).control().close();
        });
    heal();
    site.awaitServed("cold-control", SERVED);
  }

  /** Asks for a cold model while others use the warm one; returns the requests for the cold one. */
  private static List<Observation> run(String model, Disturbance disturbance) throws Exception {
    RunHistory cold = new RunHistory();
    RunHistory warm = new RunHistory();
    try (RequestClient coldClient = new RequestClient(cold, RequestSite.KEY);
        RequestClient warmClient = new RequestClient(warm, RequestSite.KEY);
        Load waiting = new Load();
        Load served = new Load()) {
      waiting.once(2 * CALLERS, i -> ask(coldClient, model, i, 0));
      served.start(CALLERS, i -> ask(warmClient, WARM, i, warm.observations().size()));
      int sent = 2 * CALLERS;
      RequestSite.await("all sent", DEADLINE, () -> cold.observations().size() == sent);
      disturbance.apply();
      waiting.end(DEADLINE.plusSeconds(15));
      served.end(DEADLINE.plusSeconds(15));
    }
    DeadlineCheck deadlines = new DeadlineCheck(RequestSite.MARGIN_MS, Set.of());
    RequestSite.assertNone(deadlines.violations(cold.observations()));
    RequestSite.assertNone(AnswerCheck.violations(cold.observations()));
    RequestSite.assertNone(deadlines.violations(warm.observations()));
    RequestSite.assertNone(AnswerCheck.violations(warm.observations()));
    List<String> refused =
        warm.observations().stream()
            .filter(o -> o.reply().end() != End.COMPLETE)
            .map(o -> "warm model not served: " + o)
            .toList();
    RequestSite.assertNone(refused);
    System.out.println(
        model
            + ": "
            + cold.observations().size()
            + " cold and "
            + warm.observations().size()
            + " warm requests");
    return cold.observations();
  }

  private static void ask(RequestClient client, String model, int caller, int number) {
    SiteVm vm = site.vms().get(caller % site.vms().size());
    String prompt = model + " " + caller + " " + number;
    client.chat("c" + caller, vm, new ChatRequest(model, prompt, 4), DEADLINE);
  }
}
