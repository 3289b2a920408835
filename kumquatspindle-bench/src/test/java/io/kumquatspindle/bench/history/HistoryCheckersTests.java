package io.kumquatspindle.bench.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Verifies that each checker reports the violations it exists for, so that system tests cannot pass
 * because a checker accepts every history. Times are in milliseconds.
 */
@DisplayName("Checkers of histories")
class HistoryCheckersTests {
  private final History history = new History();

  private void add(
      String actor, String action, String subject, String outcome, long fromMs, long toMs) {
    history.add(
        new Operation(actor, action, subject, outcome, fromMs * 1_000_000, toMs * 1_000_000));
  }

  @Nested
  @DisplayName("of tickets")
  class Tickets {
    private final TicketChecker checker =
        new TicketChecker(Duration.ofSeconds(3), Set.of("vm-1", "vm-2"));

    private void addCorrectHistory() {
      add("x", TicketChecker.FILE, "2", "a", 0, 100);
      add("y", TicketChecker.FILE, "2", TicketChecker.NONE, 0, 120);
      add("vm-1", TicketChecker.OBSERVE, "2", TicketChecker.NONE, 200, 210);
      add("vm-1", TicketChecker.OBSERVE, "2", "a", 300, 310);
      add("vm-1", TicketChecker.OBSERVE, "2", TicketChecker.UNKNOWN, 350, 360);
      add("vm-1", TicketChecker.OBSERVE, "2", "a", 3200, 3210);
      add("vm-2", TicketChecker.OBSERVE, "2", "a", 3200, 3210);
    }

    @Test
    @DisplayName("accept a correct history")
    void acceptsCorrectHistory() {
      addCorrectHistory();
      assertEquals(List.of(), checker.violations(history));
    }

    @Test
    @DisplayName("report a second content for a ticket number")
    void reportsSecondContent() {
      addCorrectHistory();
      add("vm-2", TicketChecker.OBSERVE, "2", "b", 3300, 3310);
      assertEquals(List.of("ticket 2 has several contents: [a, b]"), checker.violations(history));
    }

    @Test
    @DisplayName("report a ticket that is no longer in effect after it was")
    void reportsRevert() {
      addCorrectHistory();
      add("vm-1", TicketChecker.OBSERVE, "2", TicketChecker.NONE, 400, 410);
      assertEquals(List.of("ticket 2 went out of force at vm-1"), checker.violations(history));
    }

    @Test
    @DisplayName("report a VM that applies a ticket late, and one that was not observed")
    void reportsLateOrUnobservedVm() {
      add("x", TicketChecker.FILE, "2", "a", 0, 100);
      add("vm-1", TicketChecker.OBSERVE, "2", TicketChecker.NONE, 3200, 3210);
      assertEquals(
          Set.of(
              "ticket 2 is not in force in time at vm-1",
              "ticket 2 was not observed after its time at vm-2"),
          Set.copyOf(checker.violations(history)));
    }

    @Test
    @DisplayName("start the time limit of a VM that was unavailable when it returns")
    void startsBoundAfterAbsence() {
      addCorrectHistory();
      add("vm-2", TicketChecker.UNAVAILABLE, "", "", 50, 5000);
      add("vm-2", TicketChecker.OBSERVE, "2", "a", 8100, 8110);
      assertEquals(List.of(), checker.violations(history));
      add("vm-2", TicketChecker.UNAVAILABLE, "", "", 50, 9000);
      assertEquals(
          List.of("ticket 2 was not observed after its time at vm-2"), checker.violations(history));
    }
  }

  @Nested
  @DisplayName("of customer isolation")
  class Exposure {
    private final ExposureChecker checker =
        new ExposureChecker(Set.of("secret"), Map.of("c1", Set.of("m1"), "c2", Set.of("m2")));
    private final Map<String, ExposureChecker.SentRequest> sent =
        Map.of("r1", new ExposureChecker.SentRequest("c1", true));

    private List<String> violations(String target, String id, String text) {
      return checker.violations(
          sent, List.of(new ExposureChecker.ReceivedRequest("engine-1", target, id, text)));
    }

    @Test
    @DisplayName("accept a request that ran on a model of its customer")
    void acceptsRequestOfAllowedCustomer() {
      assertEquals(List.of(), violations("m1", "r1", "text"));
    }

    @Test
    @DisplayName("report a key at an endpoint, another customer's model, and unknown requests")
    void reportsExposureAndUnknownRequests() {
      assertEquals(List.of("engine-1 saw a key in request r1"), violations("m1", "r1", "a secret"));
      assertEquals(List.of("engine-1 ran r1 of c1 on m2"), violations("m2", "r1", "text"));
      assertEquals(
          List.of(
              "engine-1 saw request r9, which nobody sent",
              "request r1 was answered, but no endpoint ran it"),
          violations("m1", "r9", "text"));
    }
  }

  @Nested
  @DisplayName("of leaving endpoints")
  class LeavingEndpoints {
    private final LeavingChecker checker = new LeavingChecker(Duration.ofSeconds(5));

    @Test
    @DisplayName("accept work that begins within the time limit")
    void acceptsWorkBeforeBound() {
      add("e", LeavingChecker.REQUEST, "r1", LeavingChecker.COMPLETE, 0, 500);
      add("e", LeavingChecker.LEAVE, "", "", 100, 200);
      add("e", LeavingChecker.REQUEST, "r2", LeavingChecker.COMPLETE, 5100, 9000);
      assertEquals(List.of(), checker.violations(history));
    }

    @Test
    @DisplayName("report work after the time limit, truncated requests, and a run without work")
    void reportsLateTruncatedAndMissingWork() {
      add("e", LeavingChecker.LEAVE, "", "", 100, 200);
      add("e", LeavingChecker.REQUEST, "r1", LeavingChecker.COMPLETE, 5300, 5400);
      add("f", LeavingChecker.REQUEST, "r2", "cut", 0, 100);
      assertEquals(
          List.of(
              "e got r1 after it was leaving",
              "request r2 at f ended as cut",
              "e had no work when it was leaving"),
          checker.violations(history));
    }
  }

  @Nested
  @DisplayName("of planned stops")
  class PlannedStops {
    private final ShutdownChecker checker = new ShutdownChecker();

    @Test
    @DisplayName("accept whole answers and refusals")
    void acceptsWholeAnswersAndRefusals() {
      add("vm-1", ShutdownChecker.REQUEST, "r1", ShutdownChecker.COMPLETE, 0, 300);
      add("vm-1", ShutdownChecker.REQUEST, "r2", ShutdownChecker.NOT_RUN, 200, 300);
      add("vm-1", ShutdownChecker.STOP, "entry", "0", 100, 500);
      assertEquals(List.of(), checker.violations(history));
    }

    @Test
    @DisplayName("report a truncated request, a non-zero exit status, and a stop without load")
    void reportsTruncatedRequestExitStatusAndMissingLoad() {
      add("vm-1", ShutdownChecker.REQUEST, "r1", "broken", 0, 300);
      add("vm-1", ShutdownChecker.STOP, "entry", "143", 100, 500);
      assertEquals(
          List.of(
              "request r1 at vm-1 ended as broken",
              "entry of vm-1 ended with 143",
              "no request ran at vm-1 when its entry stopped"),
          checker.violations(history));
    }
  }
}
