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

/** Guards C9 and C10: a call that runs twice, and a "not run" about a call that ran. */
@DisplayName("Calls that may not be repeated")
class AtMostOnceTests {
  private static final int CALLERS = 12;
  private static final int MAX_TRIES = 6;
  private static final int ROUNDS = 7;
  private static final int KILLS = 2;
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  // Faults hit calls in all their phases: a call takes less than this, the spread is seeded.
  private static final int FAULT_GAP_MS = 100;
  private static final int FAULT_GAP_SPREAD_MS = 200;

  // A call whose caller has given up may still run, as late as the longest delay of a fault; that
  // nothing runs twice after it shows only by waiting.
  private static final int LONGEST_DELAY_MS = 2_500;
  private static final int LATE_RUN_MS = LONGEST_DELAY_MS + 100;
  @TempDir static Path dir;
  private static RequestSite site;
  private final Set<SiteVm> killed = new HashSet<>();

  /** One thing that is done to the site while callers call. */
  private interface Disturbance {
    void apply(Random random) throws Exception;
  }

  @BeforeAll
  static void start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .endpoints(0, 2)
            .standInSetting("service service-1.history", 100_000)
            .standInSetting("service service-2.history", 100_000);
    site = RequestSite.start(b, List.of(), UnaryOperator.identity());
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
  }

  @Test
  @DisplayName("run once while endpoints break after executing, hang, answer late or refuse")
  void endpointFaults() throws Exception {
    check(
        run(
            "endpoint faults",
            ROUNDS,
            random -> {
              String[] faults = {
                "{\"breakAfterExecuting\":true,\"remaining\":6}",
                "{\"hang\":true,\"remaining\":3}",
                "{\"refuse\":true,\"remaining\":6}",
                "{\"answerLateMs\":2500,\"remaining\":3}",
                "{\"delayMs\":" + LONGEST_DELAY_MS + ",\"remaining\":3}",
                "{\"downMs\":100}"
              };
              for (String service : site.site.services()) {
                site.faults(service, faults[random.nextInt(faults.length)]);
              }
            }));
  }

  @Test
  @DisplayName("run once while the log loses answers, is slow or is out")
  void logFaults() throws Exception {
    check(
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
              site.faults("log", faults[random.nextInt(faults.length)]);
              String broken = "{\"breakAfterExecuting\":true,\"remaining\":4}";
              site.faults(site.site.services().get(random.nextInt(2)), broken);
            }));
  }

  @Test
  @DisplayName("run once while entries are killed and started again")
  void entriesKilled() throws Exception {
    check(
        run(
            "killed entries",
            KILLS,
            random -> {
              SiteVm vm = site.vms().get(random.nextInt(site.vms().size()));
              killed.add(vm);
              vm.entry().close();
              vm.startEntry();
              vm.awaitReady();
            }));
  }

  private List<Observation> run(String name, int rounds, Disturbance disturbance) throws Exception {
    Random random = RequestSite.random("AtMostOnceTests " + name);
    RunHistory history = new RunHistory();
    AtomicInteger calls = new AtomicInteger();
    try (RequestClient client = new RequestClient(history, RequestSite.KEY);
        Load load = new Load()) {
      load.start(
          CALLERS,
          i -> {
            String id = name.replace(' ', '-') + "-" + calls.incrementAndGet();
            callUntilAnswered(client, "c" + i, id, i % 3 != 0);
          });
      for (int i = 0; i < rounds; i++) {
        disturbance.apply(random);
        Thread.sleep(FAULT_GAP_MS + random.nextInt(FAULT_GAP_SPREAD_MS));
      }
      site.endFaults();
      load.end(DEADLINE.multipliedBy(MAX_TRIES).plusSeconds(20));
    }
    List<Observation> run = history.observations();
    long whole = run.stream().filter(o -> o.reply().end() == End.COMPLETE).count();
    System.out.println(
        name + ": " + calls + " calls, " + run.size() + " requests, " + whole + " answers");
    return run;
  }

  /**
   * Repeats a call at the other VM: with an idempotency key after anything but an answer, without
   * one only after the explicit statement that it did not run.
   */
  private static void callUntilAnswered(
      RequestClient client, String caller, String id, boolean keyed) {
    Optional<String> key = keyed ? Optional.of("key-" + id) : Optional.empty();
    int first = id.hashCode() & 1;
    for (int i = 0; i < MAX_TRIES; i++) {
      SiteVm vm = site.vms().get((first + i) % site.vms().size());
      Observation o = client.call(caller, vm, id, key, DEADLINE);
      if (o.reply().end() == End.COMPLETE || (!keyed && !o.saysNotRun())) {
        return;
      }
    }
  }

  private void check(List<Observation> run) throws Exception {
    Set<String> asked = new HashSet<>();
    run.forEach(o -> asked.add(o.callId()));
    Thread.sleep(LATE_RUN_MS);
    CallCheck calls =
        new CallCheck(site.executions().stream().filter(e -> asked.contains(e.callId())).toList());
    RequestSite.assertNone(calls.violations(run));
    Set<String> mayBreak = new HashSet<>();
    for (int i = 0; i < CALLERS; i++) {
      for (SiteVm vm : killed) {
        mayBreak.add(RequestClient.actor("c" + i, vm));
      }
    }
    RequestSite.assertNone(new DeadlineCheck(RequestSite.MARGIN_MS, mayBreak).violations(run));
    assertTrue(run.stream().anyMatch(o -> o.reply().end() == End.COMPLETE), "nothing was answered");
  }
}
