package io.kumquatspindle.bench.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks a history against the model of a leaving endpoint: after a bound it gets no new work, and
 * what runs there ends with a whole answer.
 *
 * <p>The actor of an operation is the endpoint.
 */
public final class LeavingChecker {
  /** The endpoint was marked as leaving. */
  public static final String LEAVE = "leave";

  /** A request ran at the endpoint; it was invoked when the endpoint got it. */
  public static final String WORK = "work";

  /** Outcome of a request that its caller got the whole answer to. */
  public static final String WHOLE = "whole";

  private final Duration bound;

  /**
   * Creates a checker.
   *
   * @param bound longest time from the mark until the last new work
   */
  public LeavingChecker(Duration bound) {
    this.bound = bound;
  }

  /**
   * Checks a history.
   *
   * @param history the history
   * @return one sentence for each violation; empty if the history is correct
   */
  public List<String> violations(History history) {
    List<String> faults = new ArrayList<>();
    List<Operation> leaves = history.of(LEAVE);
    for (Operation w : history.of(WORK)) {
      Optional<Operation> leave =
          leaves.stream().filter(l -> l.actor().equals(w.actor())).findFirst();
      if (leave.isPresent() && w.beganAfter(leave.get().returnedNanos() + bound.toNanos())) {
        faults.add(w.actor() + " got " + w.subject() + " after it was leaving");
      }
      if (!w.outcome().equals(WHOLE)) {
        faults.add("request " + w.subject() + " at " + w.actor() + " ended as " + w.outcome());
      }
    }
    for (Operation l : leaves) {
      boolean worked =
          history.of(WORK).stream()
              .anyMatch(w -> w.actor().equals(l.actor()) && w.invokedNanos() < l.invokedNanos());
      if (!worked) {
        faults.add(l.actor() + " had no work when it was leaving");
      }
    }
    return faults;
  }
}
