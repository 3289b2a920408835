package io.kumquatspindle.bench.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks that leaving endpoints drain: such an endpoint receives no new request once a bound has
 * passed, and every request that runs there ends with a complete response.
 *
 * <p>The actor of an operation is the endpoint.
 */
public final class LeavingChecker {
  /** Action: the endpoint was marked as leaving. */
  public static final String LEAVE = "leave";

  /** Action: a request ran at the endpoint; the invocation time is its arrival there. */
  public static final String REQUEST = "work";

  /** Outcome: the caller received the complete response. */
  public static final String COMPLETE = "whole";

  private final Duration bound;

  /**
   * Creates a checker.
   *
   * @param bound the maximum time from the mark until the last new request arrives
   */
  public LeavingChecker(Duration bound) {
    this.bound = bound;
  }

  /**
   * Returns the violations in a history. An endpoint without requests before it was marked counts
   * as a violation, since the run then proves nothing about it.
   *
   * @param history the history
   * @return one message per violation; empty if there is none
   */
  public List<String> violations(History history) {
    List<String> violations = new ArrayList<>();
    List<Operation> leaves = history.withAction(LEAVE);
    for (Operation w : history.withAction(REQUEST)) {
      Optional<Operation> leave =
          leaves.stream().filter(l -> l.actor().equals(w.actor())).findFirst();
      if (leave.isPresent() && w.beganAfter(leave.get().returnedNanos() + bound.toNanos())) {
        violations.add(w.actor() + " got " + w.subject() + " after it was leaving");
      }
      if (!w.outcome().equals(COMPLETE)) {
        violations.add("request " + w.subject() + " at " + w.actor() + " ended as " + w.outcome());
      }
    }
    for (Operation l : leaves) {
      boolean hadRequests =
          history.withAction(REQUEST).stream()
              .anyMatch(w -> w.actor().equals(l.actor()) && w.invokedNanos() < l.invokedNanos());
      if (!hadRequests) {
        violations.add(l.actor() + " had no work when it was leaving");
      }
    }
    return violations;
  }
}
