package io.kumquatspindle.bench.system;

import io.kumquatspindle.bench.check.AnswerCheck;
import io.kumquatspindle.bench.check.DeadlineCheck;
import io.kumquatspindle.bench.check.Observation;
import io.kumquatspindle.bench.check.Observation.End;
import io.kumquatspindle.bench.check.RunHistory;
import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.TestSite;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against callers that get the answer to another request, or a truncated answer as a
 * complete one (C8).
 */
@DisplayName("Answers of faulty engines")
class AnswerIntegrityTests {
  private static final String MODEL = "notice";
  private static final int CALLERS = 16;
  private static final int TOKENS = 8;
  private static final Duration DEADLINE = Duration.ofSeconds(2);
  private static final Duration FAULT_DURATION = Duration.ofMillis(1500);

  // About the time of an answer; with the seeded jitter, faults occur in all phases of a request.
  private static final int FAULT_INTERVAL_MS = 100;
  private static final int FAULT_INTERVAL_JITTER_MS = 200;
  private static final Duration SERVED_TIMEOUT = Duration.ofSeconds(20);
  @TempDir static Path dir;
  private static ConfiguredTestSite site;

  @BeforeAll
  static void start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .endpoints(2, 0)
            .standInSetting("engines.per_token_ms", 5);
    site =
        ConfiguredTestSite.start(
            b, List.of(ConfiguredTestSite.modelSpec(MODEL, 1_000, 1)), UnaryOperator.identity());
    site.awaitServed(MODEL, SERVED_TIMEOUT);
  }

  @AfterAll
  static void stop() {
    if (site != null) {
      site.close();
    }
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "crossed answers | {\"crossAnswers\":true}",
        "late answers | {\"delayMs\":800}",
        "answers later than the deadline | {\"delayMs\":2500}",
        "broken streams | {\"breakAfterTokens\":3}",
        "streams that go silent | {\"silentAfterTokens\":3}",
        "streams that break before the first token | {\"breakAfterTokens\":0}",
      })
  @DisplayName("return to each caller the whole answer to its own request or an error, in time")
  void wholeAnswers(String name, String fault) throws Exception {
    List<Observation> run = run(name, fault);
    ConfiguredTestSite.assertNoViolations(AnswerCheck.violations(run));
    DeadlineCheck deadlines = new DeadlineCheck(ConfiguredTestSite.DEADLINE_MARGIN_MS, Set.of());
    ConfiguredTestSite.assertNoViolations(deadlines.violations(run));
    site.awaitServed(MODEL, SERVED_TIMEOUT);
  }

  /**
   * Sends requests concurrently before, during and after the time in which a fault is repeatedly
   * injected into all engines.
   */
  private static List<Observation> run(String name, String fault) throws Exception {
    Random random = ConfiguredTestSite.seededRandom("AnswerIntegrityTests " + name);
    RunHistory history = new RunHistory();
    AtomicInteger prompts = new AtomicInteger();
    try (RecordingClient client = new RecordingClient(history, ConfiguredTestSite.KEY);
        LoadGenerator load = new LoadGenerator()) {
      load.sendRepeatedly(
          CALLERS,
          i -> {
            String prompt = name + " " + prompts.incrementAndGet();
            ChatRequest chat = new ChatRequest(MODEL, prompt, TOKENS);
            client.chat("c" + i, site.vms().get(i % site.vms().size()), chat, DEADLINE);
          });
      long end = System.nanoTime() + FAULT_DURATION.toNanos();
      while (System.nanoTime() < end) {
        for (String engine : site.testSite.engines()) {
          site.setFaults(engine, fault.replace("}", ",\"remaining\":" + CALLERS + "}"));
        }
        Thread.sleep(FAULT_INTERVAL_MS + random.nextInt(FAULT_INTERVAL_JITTER_MS));
      }
      site.clearFaults();
      load.stopAndAwait(DEADLINE.plusSeconds(15));
    }
    List<Observation> run = history.observations();
    long whole = run.stream().filter(o -> o.reply().end() == End.COMPLETE).count();
    System.out.println(name + ": " + run.size() + " requests, " + whole + " whole answers");
    return run;
  }
}
