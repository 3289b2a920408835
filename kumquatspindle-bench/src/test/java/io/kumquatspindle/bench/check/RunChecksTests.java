package io.kumquatspindle.bench.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadFinished;
import io.kumquatspindle.api.record.DecisionRecord.LoadLimits;
import io.kumquatspindle.bench.check.EngineState.LoadOrder;
import io.kumquatspindle.bench.check.Observation.End;
import io.kumquatspindle.bench.check.Observation.Reply;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Checks of runs")
class RunChecksTests {
  private static final Reply NOT_RUN_REPLY =
      new Reply(End.ERROR, "r1", "no_endpoint", "not_run", "");
  private static final Reply WHOLE_REPLY = new Reply(End.COMPLETE, "r1", "", "", "text");

  private static Observation observation(String callId, Reply reply, long endedMs) {
    OptionalLong ended = endedMs < 0 ? OptionalLong.empty() : OptionalLong.of(endedMs);
    return new Observation("caller@vm-1", callId, "text", 1_000, 0, ended, reply);
  }

  private static void assertSingleFault(String text, List<String> faults) {
    assertEquals(1, faults.size(), faults::toString);
    assertTrue(faults.get(0).contains(text), faults::toString);
  }

  @Nested
  @DisplayName("Answers")
  class Answers {
    @Test
    @DisplayName("accepts the expected answer or an explicit error, reports a crossed or short one")
    void reportsWrongAnswers() {
      assertEquals(List.of(), AnswerCheck.violations(List.of(observation("a", WHOLE_REPLY, 1))));
      assertEquals(List.of(), AnswerCheck.violations(List.of(observation("a", NOT_RUN_REPLY, 1))));
      Reply foreign = new Reply(End.COMPLETE, "r1", "", "", "other text");
      Reply cut = new Reply(End.COMPLETE, "r1", "", "", "tex");
      assertSingleFault(
          "wrong answer", AnswerCheck.violations(List.of(observation("a", foreign, 1))));
      assertSingleFault("wrong answer", AnswerCheck.violations(List.of(observation("a", cut, 1))));
    }
  }

  @Nested
  @DisplayName("Deadlines")
  class Deadlines {
    private final DeadlineCheck check = new DeadlineCheck(100, Set.of("caller@vm-2"));

    @Test
    @DisplayName("accepts a reply within the margin, reports a later one and one that never ends")
    void reportsLateReplies() {
      assertEquals(List.of(), check.violations(List.of(observation("a", WHOLE_REPLY, 1_100))));
      assertSingleFault("late", check.violations(List.of(observation("a", WHOLE_REPLY, 1_101))));
      assertSingleFault("never ended", check.violations(List.of(observation("a", Reply.NONE, -1))));
    }

    @Test
    @DisplayName(
        "limits a stream to its deadline for the first byte and to 10 s after its last byte")
    void reportsLateStreams() {
      assertEquals(
          List.of(),
          check.violations(List.of(observation("a", streamedReply(900, 2_000), 12_100))));
      assertSingleFault(
          "late", check.violations(List.of(observation("a", streamedReply(900, 2_000), 12_101))));
      assertSingleFault(
          "late", check.violations(List.of(observation("a", streamedReply(1_101, 1_200), 1_200))));
    }

    private static Reply streamedReply(long firstByteMs, long lastByteMs) {
      return new Reply(End.COMPLETE, "r1", "", "", "text", firstByteMs, lastByteMs);
    }

    @Test
    @DisplayName("reports a connection that fails without an error, unless the VM was killed")
    void reportsBrokenConnections() {
      assertSingleFault("broken", check.violations(List.of(observation("a", Reply.NONE, 1))));
      Observation killed =
          new Observation("caller@vm-2", "a", "", 1_000, 0, OptionalLong.of(1), Reply.NONE);
      assertEquals(List.of(), check.violations(List.of(killed)));
    }
  }

  @Nested
  @DisplayName("Calls")
  class Calls {
    private final Execution execution = new Execution("service-1", "a", "r1-1");

    @Test
    @DisplayName("reports a call that ran twice, at one endpoint or at two")
    void reportsSecondExecution() {
      List<Observation> run = List.of(observation("a", WHOLE_REPLY, 1));
      assertEquals(List.of(), new CallCheck(List.of(execution)).violations(run));
      Execution second = new Execution("service-2", "a", "r2-1");
      assertSingleFault(
          "executed 2 times", new CallCheck(List.of(execution, second)).violations(run));
    }

    @Test
    @DisplayName("reports \"not run\" if an attempt of the request ran")
    void reportsFalseNotRun() {
      List<Observation> run = List.of(observation("a", NOT_RUN_REPLY, 1));
      assertEquals(List.of(), new CallCheck(List.of()).violations(run));
      assertSingleFault("says not run", new CallCheck(List.of(execution)).violations(run));
      Execution other = new Execution("service-1", "a", "r10-1");
      assertEquals(List.of(), new CallCheck(List.of(other)).violations(run));
    }

    @Test
    @DisplayName("reports a duplicate's \"not run\" if the call ran for any request")
    void reportsFalseNotRunOfDuplicate() {
      Reply duplicate = new Reply(End.ERROR, "r9", "duplicate_request", "not_run", "");
      List<Observation> run = List.of(observation("a", duplicate, 1));
      assertSingleFault("says not run", new CallCheck(List.of(execution)).violations(run));
    }

    @Test
    @DisplayName("reports an answer without an execution, and an execution without a request")
    void reportsUnmatchedAnswersAndExecutions() {
      assertSingleFault(
          "not executed",
          new CallCheck(List.of()).violations(List.of(observation("a", WHOLE_REPLY, 1))));
      assertSingleFault("never asked for", new CallCheck(List.of(execution)).violations(List.of()));
    }
  }

  @Nested
  @DisplayName("Replicas")
  class Replicas {
    private final VmId vm = VmId.of("vm-1");
    private final ReplicaCheck check = new ReplicaCheck(Map.of(EndpointName.of("engine-1"), 100L));

    private void addLoadDecision(long offset, String artifact) {
      LoadLimits basis = new LoadLimits(1, Optional.empty(), 1, 100, 4, 4, 30);
      check.record(
          offset,
          offset * 10_000,
          new LoadDecided(
              EndpointName.of("engine-1"),
              ArtifactName.of(artifact),
              60,
              true,
              vm,
              "n" + offset,
              basis));
    }

    private EngineState engineState(Set<String> held, long violations, LoadOrder... loads) {
      return new EngineState("engine-1", "i", held, List.of(loads), violations);
    }

    @Test
    @DisplayName("accepts a replica with a load decision, reports one without")
    void reportsUndecidedReplica() {
      addLoadDecision(0, "m");
      LoadOrder order = new LoadOrder("m", 0, 200);
      assertEquals(List.of(), check.violations(List.of(engineState(Set.of("m"), 0, order))));
      assertSingleFault(
          "holds x", check.violations(List.of(engineState(Set.of("m", "x"), 0, order))));
    }

    @Test
    @DisplayName("reports a replica whose load decision was released")
    void reportsReleasedReplica() {
      addLoadDecision(0, "m");
      check.record(1, 10_000, new LoadFinished(0, false, vm));
      assertSingleFault("holds m", check.violations(List.of(engineState(Set.of("m"), 0))));
    }

    @Test
    @DisplayName("reports a load order whose decision was not accepted")
    void reportsOrderWithoutDecision() {
      addLoadDecision(0, "m");
      addLoadDecision(1, "m");
      LoadOrder second = new LoadOrder("m", 1, 200);
      assertEquals(1, check.acceptedLoadCount("m"));
      assertSingleFault(
          "nobody decided", check.violations(List.of(engineState(Set.of("m"), 0, second))));
    }

    @Test
    @DisplayName("reports memory overcommits that an engine counted")
    void reportsEngineViolations() {
      assertSingleFault("violations", check.violations(List.of(engineState(Set.of(), 1))));
    }

    @Test
    @DisplayName(
        "reports two concurrent replicas with a limit of one, but not a replica that moved")
    void reportsTooManyConcurrentReplicas() {
      EngineState one = engineState(Set.of("m"), 0);
      EngineState two = new EngineState("engine-2", "i", Set.of("m"), List.of(), 0);
      EngineState none = engineState(Set.of(), 0);
      Map<ArtifactName, Integer> limit = Map.of(ArtifactName.of("m"), 1);
      assertSingleFault(
          "at once", ReplicaCheck.violations(List.of(one, two), List.of(one, two), limit));
      assertEquals(
          List.of(), ReplicaCheck.violations(List.of(one, two), List.of(none, two), limit));
    }
  }
}
