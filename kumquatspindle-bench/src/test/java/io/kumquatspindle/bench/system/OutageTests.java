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

/**
 * Guards against requests that wait past their deadline, and loaded models that are not served
 * while the platform is unavailable (C3).
 */
@DisplayName("Requests during outages")
class OutageTests {
  private static final String WARM = "warm";
  private static final int CALLERS = 8;
  private static final Duration DEADLINE = Duration.ofSeconds(3);
  private static final Duration SERVED_TIMEOUT = Duration.ofSeconds(30);
  @TempDir static Path dir;
  private static ConfiguredTestSite site;

  /** An action that disturbs the site while requests wait. */
  private interface FaultInjection {
    void inject() throws Exception;
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
        ConfiguredTestSite.start(
            b,
            List.of(
                ConfiguredTestSite.modelSpec(WARM, 1_000, 1),
                ConfiguredTestSite.modelSpec("cold-log", 2_000, 1),
                ConfiguredTestSite.modelSpec("cold-store", 10_000, 1),
                ConfiguredTestSite.modelSpec("cold-control", 10_000, 1)),
            UnaryOperator.identity());
    site.awaitServed(WARM, SERVED_TIMEOUT);
  }

  @AfterAll
  static void stop() {
    if (site != null) {
      site.close();
    }
  }

  @AfterEach
  void restoreSite() throws Exception {
    site.clearFaults();
    for (SiteVm vm : site.vms()) {
      if (!vm.control().isAlive()) {
        vm.startControl();
        vm.awaitReady();
      }
    }
  }

  @Test
  @DisplayName("are answered in time while the log is out, and the cold model is served afterwards")
  void logOut() throws Exception {
    site.setFaults("log", "{\"out\":true}");
    List<Observation> cold = sendColdAndWarm("cold-log", () -> {});
    assertEquals(List.of(), cold.stream().filter(o -> !o.saysNotRun()).toList());
    site.clearFaults();
    site.awaitServed("cold-log", SERVED_TIMEOUT);
  }

  @Test
  @DisplayName("are answered in time while the weight store is slow")
  void storeSlow() throws Exception {
    site.setFaults("store", "{\"speedFactor\":0.02}");
    List<Observation> cold = sendColdAndWarm("cold-store", () -> {});
    assertTrue(cold.stream().allMatch(Observation::saysNotRun), cold::toString);
  }

  @Test
  @DisplayName("are answered in time when a control of each domain is killed while they wait")
  void controlsKilled() throws Exception {
    site.setFaults("store", "{\"speedFactor\":0.1}");
    sendColdAndWarm(
        "cold-control",
        () -> {
          // One in each failure domain, since VMs are assigned to the domains in turn.
          site.vms().get(0).control().close();
          site.vms().get(1).control().close();
        });
    restoreSite();
    site.awaitServed("cold-control", SERVED_TIMEOUT);
  }

  /**
   * Requests a cold model while other callers use the warm one; returns the requests for the cold
   * one.
   */
  private static List<Observation> sendColdAndWarm(String model, FaultInjection faultInjection)
      throws Exception {
    RunHistory cold = new RunHistory();
    RunHistory warm = new RunHistory();
    try (RecordingClient coldClient = new RecordingClient(cold, ConfiguredTestSite.KEY);
        RecordingClient warmClient = new RecordingClient(warm, ConfiguredTestSite.KEY);
        LoadGenerator waiting = new LoadGenerator();
        LoadGenerator served = new LoadGenerator()) {
      waiting.sendOnce(2 * CALLERS, i -> sendChat(coldClient, model, i, 0));
      served.sendRepeatedly(
          CALLERS, i -> sendChat(warmClient, WARM, i, warm.observations().size()));
      int sent = 2 * CALLERS;
      ConfiguredTestSite.await(
          "all requests for the cold model sent",
          DEADLINE,
          () -> cold.observations().size() == sent);
      faultInjection.inject();
      waiting.stopAndAwait(DEADLINE.plusSeconds(15));
      served.stopAndAwait(DEADLINE.plusSeconds(15));
    }
    DeadlineCheck deadlines = new DeadlineCheck(ConfiguredTestSite.DEADLINE_MARGIN_MS, Set.of());
    ConfiguredTestSite.assertNoViolations(deadlines.violations(cold.observations()));
    ConfiguredTestSite.assertNoViolations(AnswerCheck.violations(cold.observations()));
    ConfiguredTestSite.assertNoViolations(deadlines.violations(warm.observations()));
    ConfiguredTestSite.assertNoViolations(AnswerCheck.violations(warm.observations()));
    List<String> refused =
        warm.observations().stream()
            .filter(o -> o.reply().end() != End.COMPLETE)
            .map(o -> "warm model not served: " + o)
            .toList();
    ConfiguredTestSite.assertNoViolations(refused);
    System.out.println(
        model
            + ": "
            + cold.observations().size()
            + " cold and "
            + warm.observations().size()
            + " warm requests");
    return cold.observations();
  }

  private static void sendChat(RecordingClient client, String model, int caller, int number) {
    SiteVm vm = site.vms().get(caller % site.vms().size());
    String prompt = model + " " + caller + " " + number;
    client.chat("c" + caller, vm, new ChatRequest(model, prompt, 4), DEADLINE);
  }
}
