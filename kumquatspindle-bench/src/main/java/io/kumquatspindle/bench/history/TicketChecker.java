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
 * Checks a history against the model of a ticket number: a register that is written once, shows the
 * written content at every VM within a bound, and never goes back.
 *
 * <p>The subject of an operation is the ticket number. The outcome is the content, or {@link #NONE}
 * or {@link #UNKNOWN}.
 */
public final class TicketChecker {
  /** An operator filed a ticket; the outcome is the content if it was accepted. */
  public static final String FILE = "file";

  /** A VM was asked which content is in force there. */
  public static final String OBSERVE = "observe";

  /** A VM was paused or down; its time to catch up begins with the end of this operation. */
  public static final String ABSENT = "absent";

  /** The ticket was not accepted, or is not in force. */
  public static final String NONE = "none";

  /** Nothing was learned: no answer, or an answer that says nothing about the ticket. */
  public static final String UNKNOWN = "unknown";

  private final Duration bound;
  private final Set<String> vms;

  /**
   * Creates a checker.
   *
   * @param bound longest time from the acceptance until every VM shows the ticket
   * @param vms VMs that must have been observed after the bound
   */
  public TicketChecker(Duration bound, Collection<String> vms) {
    this.bound = bound;
    this.vms = Set.copyOf(vms);
  }

  /**
   * Checks a history.
   *
   * @param history the history
   * @return one sentence for each violation; empty if the history is correct
   */
  public List<String> violations(History history) {
    List<String> faults = new ArrayList<>();
    Map<String, List<Operation>> byNumber =
        history.operations().stream()
            .filter(o -> !o.action().equals(ABSENT))
            .collect(Collectors.groupingBy(Operation::subject));
    List<Operation> absences = history.of(ABSENT);
    byNumber.forEach(
        (number, operations) -> {
          oneContent(number, operations, faults);
          neverBack(number, operations, faults);
          inTime(number, operations, absences, faults);
        });
    return faults;
  }

  private static void oneContent(String number, List<Operation> operations, List<String> faults) {
    Set<String> contents = new TreeSet<>();
    operations.stream().filter(TicketChecker::hasContent).forEach(o -> contents.add(o.outcome()));
    if (contents.size() > 1) {
      faults.add("ticket " + number + " has several contents: " + contents);
    }
  }

  private static void neverBack(String number, List<Operation> operations, List<String> faults) {
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
      Operation shown = firstShown.get(o.actor());
      boolean gone = o.action().equals(OBSERVE) && o.outcome().equals(NONE);
      if (gone && shown != null && shown.precedes(o)) {
        faults.add("ticket " + number + " went out of force at " + o.actor());
      }
    }
  }

  private void inTime(
      String number, List<Operation> operations, List<Operation> absences, List<String> faults) {
    OptionalLong accepted =
        operations.stream()
            .filter(o -> o.action().equals(FILE) && hasContent(o))
            .mapToLong(Operation::returnedNanos)
            .min();
    if (accepted.isEmpty()) {
      return;
    }
    for (String vm : vms) {
      long due = due(vm, accepted.getAsLong(), absences);
      List<Operation> late =
          operations.stream()
              .filter(o -> o.action().equals(OBSERVE) && o.actor().equals(vm) && o.beganAfter(due))
              .toList();
      if (late.stream().anyMatch(o -> o.outcome().equals(NONE))) {
        faults.add("ticket " + number + " is not in force in time at " + vm);
      } else if (late.stream().noneMatch(TicketChecker::hasContent)) {
        faults.add("ticket " + number + " was not observed after its time at " + vm);
      }
    }
  }

  private long due(String vm, long acceptedNanos, List<Operation> absences) {
    long from = acceptedNanos;
    for (Operation a : absences) {
      if (a.actor().equals(vm) && a.returnedNanos() - from > 0) {
        from = a.returnedNanos();
      }
    }
    return from + bound.toNanos();
  }

  private static boolean hasContent(Operation o) {
    return !o.outcome().equals(NONE) && !o.outcome().equals(UNKNOWN);
  }
}
