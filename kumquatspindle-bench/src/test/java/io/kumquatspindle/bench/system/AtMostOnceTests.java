package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.bench.check.CallCheck;
import io.kumquatspindle.bench.check.DeadlineCheck;
import io.kumquatspindle.bench.check.Observation;
import io.kumquatspindle.bench.check.Observation.End;
import io.kumquatspindle.bench.check.RunHistory;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against calls that run twice (C10) and refusals that say "not run" of a call that ran
 * (C9), under faults of endpoints, the log and entries.
 */
@DisplayName("At-most-once calls")
class AtMostOnceTests {
  private static final int CALLERS = 12;
  private static final int MAX_ATTEMPTS = 6;
  private static final int ROUNDS = 7;
  private static final int KILL_ROUNDS = 2;
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  // Longer than a call takes; with the seeded jitter, faults occur in all phases of a call.
  private static final int FAULT_INTERVAL_MS = 100;
  private static final int FAULT_INTERVAL_JITTER_MS = 200;

  // A call may still run after its caller has timed out, at the latest after the longest injected
  // delay. Second executions are only visible after this time.
  private static final int MAX_FAULT_DELAY_MS = 2_500;
  private static final int LATE_EXECUTION_WAIT_MS = MAX_FAULT_DELAY_MS + 100;
  @TempDir static Path dir;
  private static ConfiguredTestSite site;
  private final Set<SiteVm> vmsWithKilledEntry = new HashSet<>();

  /** An action that disturbs the site under load. */
  private interface FaultInjection {
    void inject(Random random) throws Exception;
  }

  @BeforeAll
  static void start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .endpoints(0, 2)
            .standInSetting("service service-1.history", 100_000)
            .standInSetting("service service-2.history", 100_000);
    site = ConfiguredTestSite.start(b, List.of(), UnaryOperator.identity());
  }

  @AfterAll
  static void stop() {
    if (site != null) {
      site.close();
    }
  }

  @AfterEach
  void clearFaults() throws Exception {
    site.clearFaults();
  }

  @Test
  @DisplayName("run once while endpoints disconnect after executing, hang, answer late or refuse")
  void endpointFaults() throws Exception {
    assertAtMostOnce(
        run(
            "endpoint faults",
            ROUNDS,
            random -> {
              String[] faults = {
                "{\"breakAfterExecuting\":true,\"remaining\":6}",
                "{\"hang\":true,\"remaining\":3}",
                "{\"refuse\":true,\"remaining\":6}",
                "{\"answerLateMs\":2500,\"remaining\":3}",
                "{\"delayMs\":" + MAX_FAULT_DELAY_MS + ",\"remaining\":3}",
                "{\"downMs\":100}"
              };
              for (String service : site.testSite.services()) {
                site.setFaults(service, faults[random.nextInt(faults.length)]);
              }
            }));
  }

  @Test
  @DisplayName("run once while the log loses answers, is slow or unavailable")
  void logFaults() throws Exception {
    assertAtMostOnce(
        run(
            "log faults",
            ROUNDS,
            random -> {
              String[] faults = {
                "{\"loseAnswer\":true,\"only\":\"appends\",\"remaining\":4}",
                "{\"out\":true,\"only\":\"appends\",\"remaining\":6}",
                "{\"slowMs\":700}",
                "{\"hang\":true,\"remaining\":2}",
                "{}"
              };
              site.setFaults("log", faults[random.nextInt(faults.length)]);
              String broken = "{\"breakAfterExecuting\":true,\"remaining\":4}";
              site.setFaults(site.testSite.services().get(random.nextInt(2)), broken);
            }));
  }

  @Test
  @DisplayName("run once while entries are killed and restarted")
  void entriesKilled() throws Exception {
    assertAtMostOnce(
        run(
            "killed entries",
            KILL_ROUNDS,
            random -> {
              SiteVm vm = site.vms().get(random.nextInt(site.vms().size()));
              vmsWithKilledEntry.add(vm);
              vm.entry().close();
              vm.startEntry();
              vm.awaitReady();
            }));
  }

  private List<Observation> run(String name, int rounds, FaultInjection faultInjection)
      throws Exception {
    Random random = ConfiguredTestSite.seededRandom("AtMostOnceTests " + name);
    RunHistory history = new RunHistory();
    AtomicInteger calls = new AtomicInteger();
    try (RecordingClient client = new RecordingClient(history, ConfiguredTestSite.KEY);
        LoadGenerator load = new LoadGenerator()) {
      load.sendRepeatedly(
          CALLERS,
          i -> {
            String id = name.replace(' ', '-') + "-" + calls.incrementAndGet();
            callWithRetries(client, "c" + i, id, i % 3 != 0);
          });
      for (int i = 0; i < rounds; i++) {
        faultInjection.inject(random);
        Thread.sleep(FAULT_INTERVAL_MS + random.nextInt(FAULT_INTERVAL_JITTER_MS));
      }
      site.clearFaults();
      load.stopAndAwait(DEADLINE.multipliedBy(MAX_ATTEMPTS).plusSeconds(20));
    }
    List<Observation> run = history.observations();
    long whole = run.stream().filter(o -> o.reply().end() == End.COMPLETE).count();
    System.out.println(
        name + ": " + calls + " calls, " + run.size() + " requests, " + whole + " answers");
    return run;
  }

  /**
   * Retries a call at the other VM: with an idempotency key after anything but a whole answer,
   * without one only after a refusal that says that the call did not run.
   */
  private static void callWithRetries(
      RecordingClient client, String caller, String id, boolean hasIdempotencyKey) {
    Optional<String> key = hasIdempotencyKey ? Optional.of("key-" + id) : Optional.empty();
    int first = id.hashCode() & 1;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      SiteVm vm = site.vms().get((first + i) % site.vms().size());
      Observation o = client.call(caller, vm, id, key, DEADLINE);
      if (o.reply().end() == End.COMPLETE || (!hasIdempotencyKey && !o.saysNotRun())) {
        return;
      }
    }
  }

  private void assertAtMostOnce(List<Observation> run) throws Exception {
    Set<String> sentCallIds = new HashSet<>();
    run.forEach(o -> sentCallIds.add(o.callId()));
    Thread.sleep(LATE_EXECUTION_WAIT_MS);
    CallCheck calls =
        new CallCheck(
            site.executions().stream().filter(e -> sentCallIds.contains(e.callId())).toList());
    ConfiguredTestSite.assertNoViolations(calls.violations(run));
    Set<String> actorsOfKilledEntries = new HashSet<>();
    for (int i = 0; i < CALLERS; i++) {
      for (SiteVm vm : vmsWithKilledEntry) {
        actorsOfKilledEntries.add(RecordingClient.actor("c" + i, vm));
      }
    }
    ConfiguredTestSite.assertNoViolations(
        new DeadlineCheck(ConfiguredTestSite.DEADLINE_MARGIN_MS, actorsOfKilledEntries)
            .violations(run));
    assertTrue(run.stream().anyMatch(o -> o.reply().end() == End.COMPLETE), "no call was answered");
  }
}
