package io.kumquatspindle.bench.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks planned stops of processes: every request ends with a complete response or with an error
 * that says that it was not run, each stop happens under load, and the process exits with status 0.
 */
public final class ShutdownChecker {
  /** Action: a request. The outcome is {@link #COMPLETE}, {@link #NOT_RUN} or another text. */
  public static final String REQUEST = "request";

  /** Action: a stop, from the signal until the process ends. The outcome is its exit status. */
  public static final String STOP = "stop";

  /** Outcome: the caller received the complete response. */
  public static final String COMPLETE = "whole";

  /** Outcome: the request was rejected with the statement that it was not run. */
  public static final String NOT_RUN = "not_run";

  public ShutdownChecker() {}

  /**
   * Returns the violations in a history. A stop during which no request was in progress counts as a
   * violation, since it proves nothing.
   *
   * @param history the history
   * @return one message per violation; empty if there is none
   */
  public List<String> violations(History history) {
    List<String> violations = new ArrayList<>();
    List<Operation> requests = history.withAction(REQUEST);
    for (Operation r : requests) {
      if (!r.outcome().equals(COMPLETE) && !r.outcome().equals(NOT_RUN)) {
        violations.add("request " + r.subject() + " at " + r.actor() + " ended as " + r.outcome());
      }
    }
    for (Operation s : history.withAction(STOP)) {
      if (!s.outcome().equals("0")) {
        violations.add(s.subject() + " of " + s.actor() + " ended with " + s.outcome());
      }
      boolean underLoad =
          requests.stream()
              .anyMatch(
                  r ->
                      r.actor().equals(s.actor())
                          && r.outcome().equals(COMPLETE)
                          && r.invokedNanos() < s.invokedNanos()
                          && r.returnedNanos() > s.invokedNanos());
      if (!underLoad) {
        violations.add("no request ran at " + s.actor() + " when its " + s.subject() + " stopped");
      }
    }
    return violations;
  }
}
