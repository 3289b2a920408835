package io.kumquatspindle.bench.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks a history against the model of a planned stop: each request ends with a whole answer or
 * with a refusal that says that it did not run, requests run during every stop, and the process
 * exits with 0.
 */
public final class ShutdownChecker {
  /** A caller's request; the outcome is {@link #WHOLE}, {@link #NOT_RUN} or what else was seen. */
  public static final String REQUEST = "request";

  /** A process was told to stop; the operation ends with the process, the outcome is its status. */
  public static final String STOP = "stop";

  /** The caller got the whole answer. */
  public static final String WHOLE = "whole";

  /** The request was refused, with the statement that it did not run. */
  public static final String NOT_RUN = "not_run";

  /** Creates a checker. */
  public ShutdownChecker() {}

  /**
   * Checks a history.
   *
   * @param history the history
   * @return one sentence for each violation; empty if the history is correct
   */
  public List<String> violations(History history) {
    List<String> faults = new ArrayList<>();
    List<Operation> requests = history.of(REQUEST);
    for (Operation r : requests) {
      if (!r.outcome().equals(WHOLE) && !r.outcome().equals(NOT_RUN)) {
        faults.add("request " + r.subject() + " at " + r.actor() + " ended as " + r.outcome());
      }
    }
    for (Operation s : history.of(STOP)) {
      if (!s.outcome().equals("0")) {
        faults.add(s.subject() + " of " + s.actor() + " ended with " + s.outcome());
      }
      boolean loaded =
          requests.stream()
              .anyMatch(
                  r ->
                      r.actor().equals(s.actor())
                          && r.outcome().equals(WHOLE)
                          && r.invokedNanos() < s.invokedNanos()
                          && r.returnedNanos() > s.invokedNanos());
      if (!loaded) {
        faults.add("no request ran at " + s.actor() + " when its " + s.subject() + " stopped");
      }
    }
    return faults;
  }
}
