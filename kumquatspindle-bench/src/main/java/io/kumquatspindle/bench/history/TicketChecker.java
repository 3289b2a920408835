package io.kumquatspindle.bench.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Checks that each ticket number behaves like a write-once register: at most one content is
 * accepted, every VM has it in force within a bound, and no VM reverts it.
 *
 * <p>The subject of an operation is the ticket number. The outcome is the content, {@link #NONE} or
 * {@link #UNKNOWN}.
 */
public final class TicketChecker {
  /** Action: an operator filed a ticket. The outcome is its content if it was accepted. */
  public static final String FILE = "file";

  /** Action: a VM was asked which content is in force there. */
  public static final String OBSERVE = "observe";

  /** Action: a VM was paused or down. Its time to catch up starts when this operation ends. */
  public static final String UNAVAILABLE = "absent";

  /** Outcome: the ticket was not accepted, or is not in force. */
  public static final String NONE = "none";

  /** Outcome: no response, or a response that does not tell the state of the ticket. */
  public static final String UNKNOWN = "unknown";

  private final Duration bound;
  private final Set<String> vms;

  /**
   * Creates a checker.
   *
   * @param bound the maximum time from acceptance until the ticket is in force on every VM
   * @param vms the VMs that must have been observed after the bound
   */
  public TicketChecker(Duration bound, Collection<String> vms) {
    this.bound = bound;
    this.vms = Set.copyOf(vms);
  }

  /**
   * Returns the violations in a history.
   *
   * @param history the history
   * @return one message per violation; empty if there is none
   */
  public List<String> violations(History history) {
    List<String> violations = new ArrayList<>();
    Map<String, List<Operation>> byNumber =
        history.operations().stream()
            .filter(o -> !o.action().equals(UNAVAILABLE))
            .collect(Collectors.groupingBy(Operation::subject));
    List<Operation> outages = history.withAction(UNAVAILABLE);
    byNumber.forEach(
        (number, operations) -> {
          checkSingleContent(number, operations, violations);
          checkNoReversion(number, operations, violations);
          checkInForceInTime(number, operations, outages, violations);
        });
    return violations;
  }

  private static void checkSingleContent(
      String number, List<Operation> operations, List<String> violations) {
    Set<String> contents = new TreeSet<>();
    operations.stream().filter(TicketChecker::hasContent).forEach(o -> contents.add(o.outcome()));
    if (contents.size() > 1) {
      violations.add("ticket " + number + " has several contents: " + contents);
    }
  }

  private static void checkNoReversion(
      String number, List<Operation> operations, List<String> violations) {
    Map<String, Operation> firstShown = new HashMap<>();
    for (Operation o : operations) {
      if (!o.action().equals(OBSERVE)) {
        continue;
      }
      if (hasContent(o)) {
        firstShown.putIfAbsent(o.actor(), o);
      }
    }
    for (Operation o : operations) {
      Operation shownBefore = firstShown.get(o.actor());
      boolean notInForce = o.action().equals(OBSERVE) && o.outcome().equals(NONE);
      if (notInForce && shownBefore != null && shownBefore.precedes(o)) {
        violations.add("ticket " + number + " went out of force at " + o.actor());
      }
    }
  }

  private void checkInForceInTime(
      String number, List<Operation> operations, List<Operation> outages, List<String> violations) {
    OptionalLong acceptedNanos =
        operations.stream()
            .filter(o -> o.action().equals(FILE) && hasContent(o))
            .mapToLong(Operation::returnedNanos)
            .min();
    if (acceptedNanos.isEmpty()) {
      return;
    }
    for (String vm : vms) {
      long deadline = deadlineNanos(vm, acceptedNanos.getAsLong(), outages);
      List<Operation> afterDeadline =
          operations.stream()
              .filter(
                  o -> o.action().equals(OBSERVE) && o.actor().equals(vm) && o.beganAfter(deadline))
              .toList();
      if (afterDeadline.stream().anyMatch(o -> o.outcome().equals(NONE))) {
        violations.add("ticket " + number + " is not in force in time at " + vm);
      } else if (afterDeadline.stream().noneMatch(TicketChecker::hasContent)) {
        violations.add("ticket " + number + " was not observed after its time at " + vm);
      }
    }
  }

  private long deadlineNanos(String vm, long acceptedNanos, List<Operation> outages) {
    long startNanos = acceptedNanos;
    for (Operation a : outages) {
      if (a.actor().equals(vm) && a.returnedNanos() - startNanos > 0) {
        startNanos = a.returnedNanos();
      }
    }
    return startNanos + bound.toNanos();
  }

  private static boolean hasContent(Operation o) {
    return !o.outcome().equals(NONE) && !o.outcome().equals(UNKNOWN);
  }
}
