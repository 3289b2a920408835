package io.kumquatspindle.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Records the operations of a concurrent run; may be used by many threads. */
public final class History {
  private final List<Operation> operations = new ArrayList<>();

  /** Creates an empty history. */
  public History() {}

  /**
   * Carries out an operation and records it.
   *
   * @param actor who carries it out
   * @param action what is done
   * @param subject what it is done to
   * @param work does it and returns the outcome
   * @return the outcome
   * @throws Exception if the work fails; then nothing is recorded
   */
  public String record(String actor, String action, String subject, Callable<String> work)
      throws Exception {
    long invoked = System.nanoTime();
    String outcome = work.call();
    add(new Operation(actor, action, subject, outcome, invoked, System.nanoTime()));
    return outcome;
  }

  /**
   * Adds an operation that was carried out elsewhere.
   *
   * @param operation the operation
   */
  public synchronized void add(Operation operation) {
    operations.add(operation);
  }

  /**
   * Returns what was recorded up to now.
   *
   * @return the operations, in the order of their ends
   */
  public synchronized List<Operation> operations() {
    return List.copyOf(operations);
  }

  /**
   * Returns the operations of one kind.
   *
   * @param action what was done
   * @return the operations, in the order of their ends
   */
  public List<Operation> of(String action) {
    return operations().stream().filter(o -> o.action().equals(action)).toList();
  }
}
