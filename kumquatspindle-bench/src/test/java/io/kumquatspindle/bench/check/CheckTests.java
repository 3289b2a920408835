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

@DisplayName("Checkers of runs")
class CheckTests {
  private static final Reply NOT_RUN = new Reply(End.ERROR, "r1", "no_endpoint", "not_run", "");
  private static final Reply WHOLE = new Reply(End.COMPLETE, "r1", "", "", "text");

  private static Observation seen(String callId, Reply reply, long endedMs) {
    OptionalLong ended = endedMs < 0 ? OptionalLong.empty() : OptionalLong.of(endedMs);
    return new Observation("caller@vm-1", callId, "text", 1_000, 0, ended, reply);
  }

  private static void assertOne(String start, List<String> faults) {
    assertEquals(1, faults.size(), faults::toString);
    assertTrue(faults.get(0).contains(start), faults::toString);
  }

  @Nested
  @DisplayName("Answers")
  class Answers {
    @Test
    @DisplayName("accepts the own answer and an explicit error, refuses a crossed or short answer")
    void refusesForeignAnswers() {
      assertEquals(List.of(), AnswerCheck.violations(List.of(seen("a", WHOLE, 1))));
      assertEquals(List.of(), AnswerCheck.violations(List.of(seen("a", NOT_RUN, 1))));
      Reply foreign = new Reply(End.COMPLETE, "r1", "", "", "other text");
      Reply cut = new Reply(End.COMPLETE, "r1", "", "", "tex");
      assertOne("wrong answer", AnswerCheck.violations(List.of(seen("a", foreign, 1))));
      assertOne("wrong answer", AnswerCheck.violations(List.of(seen("a", cut, 1))));
    }
  }

  @Nested
  @DisplayName("Deadlines")
  class Deadlines {
    private final DeadlineCheck check = new DeadlineCheck(100, Set.of("caller@vm-2"));

    @Test
    @DisplayName("accepts a reply within the margin, refuses a later one and one that never ends")
    void refusesLateReplies() {
      assertEquals(List.of(), check.violations(List.of(seen("a", WHOLE, 1_100))));
      assertOne("late", check.violations(List.of(seen("a", WHOLE, 1_101))));
      assertOne("never ended", check.violations(List.of(seen("a", Reply.NONE, -1))));
    }

    @Test
    @DisplayName("gives a stream its deadline for the first byte and 10 s after its last byte")
    void refusesLateStreams() {
      assertEquals(List.of(), check.violations(List.of(seen("a", stream(900, 2_000), 12_100))));
      assertOne("late", check.violations(List.of(seen("a", stream(900, 2_000), 12_101))));
      assertOne("late", check.violations(List.of(seen("a", stream(1_101, 1_200), 1_200))));
    }

    private static Reply stream(long firstByteMs, long lastByteMs) {
      return new Reply(End.COMPLETE, "r1", "", "", "text", firstByteMs, lastByteMs);
    }

    @Test
    @DisplayName("refuses a connection that fails without an error, unless the VM was killed")
    void refusesBrokenConnections() {
      assertOne("broken", check.violations(List.of(seen("a", Reply.NONE, 1))));
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
    @DisplayName("refuses a call that ran twice, at one endpoint or at two")
    void refusesSecondExecution() {
      List<Observation> run = List.of(seen("a", WHOLE, 1));
      assertEquals(List.of(), new CallCheck(List.of(execution)).violations(run));
      Execution second = new Execution("service-2", "a", "r2-1");
      assertOne("executed 2 times", new CallCheck(List.of(execution, second)).violations(run));
    }

    @Test
    @DisplayName("refuses \"not run\" if an attempt of the request ran")
    void refusesFalseNotRun() {
      List<Observation> run = List.of(seen("a", NOT_RUN, 1));
      assertEquals(List.of(), new CallCheck(List.of()).violations(run));
      assertOne("says not run", new CallCheck(List.of(execution)).violations(run));
      Execution other = new Execution("service-1", "a", "r10-1");
      assertEquals(List.of(), new CallCheck(List.of(other)).violations(run));
    }

    @Test
    @DisplayName("refuses a duplicate's \"not run\" if the call ran for any request")
    void refusesFalseDuplicate() {
      Reply duplicate = new Reply(End.ERROR, "r9", "duplicate_request", "not_run", "");
      List<Observation> run = List.of(seen("a", duplicate, 1));
      assertOne("says not run", new CallCheck(List.of(execution)).violations(run));
    }

    @Test
    @DisplayName("refuses an answer to a call that no endpoint ran, and work nobody asked for")
    void refusesInventedWork() {
      assertOne("not executed", new CallCheck(List.of()).violations(List.of(seen("a", WHOLE, 1))));
      assertOne("never asked for", new CallCheck(List.of(execution)).violations(List.of()));
    }
  }

  @Nested
  @DisplayName("Replicas")
  class Replicas {
    private final VmId vm = VmId.of("vm-1");
    private final ReplicaCheck check = new ReplicaCheck(Map.of(EndpointName.of("engine-1"), 100L));

    private void decide(long offset, String artifact) {
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

    private EngineState engine(Set<String> held, long violations, LoadOrder... loads) {
      return new EngineState("engine-1", "i", held, List.of(loads), violations);
    }

    @Test
    @DisplayName("accepts a decided replica, refuses one without a decision")
    void refusesUndecidedReplica() {
      decide(0, "m");
      LoadOrder order = new LoadOrder("m", 0, 200);
      assertEquals(List.of(), check.violations(List.of(engine(Set.of("m"), 0, order))));
      assertOne("holds x", check.violations(List.of(engine(Set.of("m", "x"), 0, order))));
    }

    @Test
    @DisplayName("refuses a replica whose decision was released")
    void refusesReleasedReplica() {
      decide(0, "m");
      check.record(1, 10_000, new LoadFinished(0, false, vm));
      assertOne("holds m", check.violations(List.of(engine(Set.of("m"), 0))));
    }

    @Test
    @DisplayName("refuses an order whose decision the fold ignored")
    void refusesOrderWithoutDecision() {
      decide(0, "m");
      decide(1, "m");
      LoadOrder second = new LoadOrder("m", 1, 200);
      assertEquals(1, check.acceptedLoadCount("m"));
      assertOne("nobody decided", check.violations(List.of(engine(Set.of("m"), 0, second))));
    }

    @Test
    @DisplayName("refuses an overcommit that an engine counted")
    void refusesViolations() {
      assertOne("violations", check.violations(List.of(engine(Set.of(), 1))));
    }

    @Test
    @DisplayName("refuses two replicas held at once with a limit of one, not one that moved")
    void refusesTooManyAtOnce() {
      EngineState one = engine(Set.of("m"), 0);
      EngineState two = new EngineState("engine-2", "i", Set.of("m"), List.of(), 0);
      EngineState none = engine(Set.of(), 0);
      Map<ArtifactName, Integer> limit = Map.of(ArtifactName.of("m"), 1);
      assertOne("at once", ReplicaCheck.violations(List.of(one, two), List.of(one, two), limit));
      assertEquals(
          List.of(), ReplicaCheck.violations(List.of(one, two), List.of(none, two), limit));
    }
  }
}
