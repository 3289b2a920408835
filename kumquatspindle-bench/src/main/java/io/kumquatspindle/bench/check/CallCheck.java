package io.kumquatspindle.bench.check;

import io.kumquatspindle.bench.check.Observation.End;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks calls that may not be repeated: each call id was executed at most once (C10), a refusal
 * that says "not run" is true (C9), and what was answered was executed.
 */
public final class CallCheck {
  private static final String DUPLICATE = "duplicate_request";

  private final List<Execution> executions;

  /**
   * Creates a check.
   *
   * @param executions the complete executions of all endpoints
   */
  public CallCheck(List<Execution> executions) {
    this.executions = List.copyOf(executions);
  }

  /**
   * Checks a run that has ended.
   *
   * @param run the requests
   * @return one line for each fault
   */
  public List<String> faults(List<Observation> run) {
    List<String> faults = new ArrayList<>();
    Map<String, Integer> times = new HashMap<>();
    executions.forEach(e -> times.merge(e.callId(), 1, Integer::sum));
    times.forEach(
        (id, n) -> {
          if (n > 1) {
            faults.add("executed " + n + " times: " + id);
          }
        });
    Set<String> asked = new HashSet<>();
    run.forEach(o -> asked.add(o.callId()));
    times.keySet().stream()
        .filter(id -> !asked.contains(id))
        .forEach(id -> faults.add("executed but never asked for: " + id));
    for (Observation o : run) {
      if (o.saysNotRun() && ran(o)) {
        faults.add("says not run but ran: " + o);
      }
      if (o.reply().end() == End.WHOLE && !times.containsKey(o.callId())) {
        faults.add("answered but not executed: " + o);
      }
    }
    return faults;
  }

  /** A duplicate is told about the earlier call, everyone else about its own request. */
  private boolean ran(Observation o) {
    boolean duplicate = o.reply().code().equals(DUPLICATE);
    return executions.stream()
        .anyMatch(
            e -> duplicate ? e.callId().equals(o.callId()) : e.isAttemptOf(o.reply().requestId()));
  }
}
