package io.kumquatspindle.bench.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Records the operations of a concurrent run. Thread-safe. */
public final class History {
  private final List<Operation> operations = new ArrayList<>();

  public History() {}

  /**
   * Runs an operation and records it with its invocation and return times.
   *
   * @param actor who invokes the operation
   * @param action the kind of operation
   * @param subject what the operation acts on
   * @param operation the operation, which returns its outcome
   * @return the outcome
   * @throws Exception if the operation fails, in which case nothing is recorded
   */
  public String record(String actor, String action, String subject, Callable<String> operation)
      throws Exception {
    long invoked = System.nanoTime();
    String outcome = operation.call();
    add(new Operation(actor, action, subject, outcome, invoked, System.nanoTime()));
    return outcome;
  }

  /**
   * Adds an operation that other code has run and timed.
   *
   * @param operation the completed operation
   */
  public synchronized void add(Operation operation) {
    operations.add(operation);
  }

  /**
   * Returns a snapshot of the operations recorded so far.
   *
   * @return the operations, in the order in which they were recorded
   */
  public synchronized List<Operation> operations() {
    return List.copyOf(operations);
  }

  /**
   * Returns the operations of one kind.
   *
   * @param action the kind of operation
   * @return the operations, in the order in which they were recorded
   */
  public List<Operation> withAction(String action) {
    return operations().stream().filter(o -> o.action().equals(action)).toList();
  }
}
