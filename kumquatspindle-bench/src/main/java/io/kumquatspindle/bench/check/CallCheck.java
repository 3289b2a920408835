package io.kumquatspindle.bench.check;

import io.kumquatspindle.bench.check.Observation.End;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks calls that must not be repeated: each call id was executed at most once (condition C10),
 * an error that says "not run" is true (condition C9), and every answered call was executed.
 */
public final class CallCheck {
  private static final String DUPLICATE = "duplicate_request";

  private final List<Execution> executions;

  /**
   * Creates a check.
   *
   * @param executions all executions that the endpoints recorded
   */
  public CallCheck(List<Execution> executions) {
    this.executions = List.copyOf(executions);
  }

  /**
   * Returns the violations in a run that has ended.
   *
   * @param run the observed requests
   * @return one message per violation; empty if there is none
   */
  public List<String> violations(List<Observation> run) {
    List<String> violations = new ArrayList<>();
    Map<String, Integer> executionCounts = new HashMap<>();
    executions.forEach(e -> executionCounts.merge(e.callId(), 1, Integer::sum));
    executionCounts.forEach(
        (id, n) -> {
          if (n > 1) {
            violations.add("executed " + n + " times: " + id);
          }
        });
    Set<String> requestedIds = new HashSet<>();
    run.forEach(o -> requestedIds.add(o.callId()));
    executionCounts.keySet().stream()
        .filter(id -> !requestedIds.contains(id))
        .forEach(id -> violations.add("executed but never asked for: " + id));
    for (Observation o : run) {
      if (o.saysNotRun() && wasExecuted(o)) {
        violations.add("says not run but was executed: " + o);
      }
      if (o.reply().end() == End.COMPLETE && !executionCounts.containsKey(o.callId())) {
        violations.add("answered but not executed: " + o);
      }
    }
    return violations;
  }

  /**
   * Returns whether the call of an error was executed. The error for a duplicate is about the call
   * id, any other error only about the attempts of its own request.
   */
  private boolean wasExecuted(Observation o) {
    boolean duplicate = o.reply().code().equals(DUPLICATE);
    return executions.stream()
        .anyMatch(
            e -> duplicate ? e.callId().equals(o.callId()) : e.isAttemptOf(o.reply().requestId()));
  }
}
