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

/** Guards C8: an answer of another request, or a part of an answer, given as the whole answer. */
@DisplayName("Answers under faulty endpoints")
class AnswersTests {
  private static final String MODEL = "notice";
  private static final int CALLERS = 16;
  private static final int TOKENS = 8;
  private static final Duration DEADLINE = Duration.ofSeconds(2);
  private static final Duration FAULT_TIME = Duration.ofMillis(1500);

  // Faults hit requests in all their phases: the gap is about an answer, the spread is seeded.
  private static final int FAULT_GAP_MS = 100;
  private static final int FAULT_GAP_SPREAD_MS = 200;
  private static final Duration SERVED = Duration.ofSeconds(20);
  @TempDir static Path dir;
  private static RequestSite site;

  @BeforeAll
  static void start() throws Exception {
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), dir)
            .domains("domain-a", "domain-b")
            .endpoints(2, 0)
            .standInSetting("engines.per_token_ms", 5);
    site =
        RequestSite.start(b, List.of(RequestSite.model(MODEL, 1_000, 1)), UnaryOperator.identity());
    site.awaitServed(MODEL, SERVED);
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
  @DisplayName("gives each caller the whole answer to its own request or an error, in time")
  void wholeAnswers(String name, String fault) throws Exception {
    List<Observation> run = run(name, fault);
    RequestSite.assertNone(AnswerCheck.violations(run));
    DeadlineCheck deadlines = new DeadlineCheck(RequestSite.MARGIN_MS, Set.of());
    RequestSite.assertNone(deadlines.violations(run));
    site.awaitServed(MODEL, SERVED);
  }

  /** The load runs before, during and after the fault. */
  private static List<Observation> run(String name, String fault) throws Exception {
    Random random = RequestSite.random("AnswersTests " + name);
    RunHistory history = new RunHistory();
    AtomicInteger prompts = new AtomicInteger();
    try (RequestClient client = new RequestClient(history, RequestSite.KEY);
        Load load = new Load()) {
      load.start(
          CALLERS,
          i -> {
            String prompt = name + " " + prompts.incrementAndGet();
            ChatRequest chat = new ChatRequest(MODEL, prompt, TOKENS);
            client.chat("c" + i, site.vms().get(i % site.vms().size()), chat, DEADLINE);
          });
      long end = System.nanoTime() + FAULT_TIME.toNanos();
      while (System.nanoTime() < end) {
        for (String engine : site.site.engines()) {
          site.faults(engine, fault.replace("}", ",\"remaining\":" + CALLERS + "}"));
        }
        Thread.sleep(FAULT_GAP_MS + random.nextInt(FAULT_GAP_SPREAD_MS));
      }
      site.endFaults();
      load.end(DEADLINE.plusSeconds(15));
    }
    List<Observation> run = history.observations();
    long whole = run.stream().filter(o -> o.reply().end() == End.COMPLETE).count();
    System.out.println(name + ": " + run.size() + " requests, " + whole + " whole answers");
    return run;
  }
}
