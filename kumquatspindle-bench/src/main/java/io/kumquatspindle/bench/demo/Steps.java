package io.kumquatspindle.bench.demo;

import java.io.IOException;
import java.io.PrintStream;

/** Runs the steps of a demo and prints the outcome of each as OK or FAILED. */
final class Steps {
  private final PrintStream out;
  private int succeeded;
  private int failed;

  Steps(PrintStream out) {
    this.out = out;
  }

  /** Runs a step and returns whether it succeeded; an exception counts as a failure. */
  boolean run(String name, Step step) {
    Outcome outcome;
    try {
      outcome = step.run();
    } catch (IOException | RuntimeException e) {
      outcome = Outcome.failed(e.getMessage() == null ? e.toString() : e.getMessage());
    }
    if (outcome.success()) {
      succeeded++;
    } else {
      failed++;
    }
    String detail = outcome.detail().isEmpty() ? "" : ": " + outcome.detail();
    out.println((outcome.success() ? "OK      " : "FAILED  ") + name + detail);
    return outcome.success();
  }

  /** Prints the summary and returns whether every step succeeded. */
  boolean summarize() {
    out.println(succeeded + " steps OK, " + failed + " FAILED");
    return failed == 0;
  }

  @FunctionalInterface
  interface Step {
    Outcome run() throws IOException;
  }

  /** Outcome of a step, with a measured value or the reason for the failure as its detail. */
  record Outcome(boolean success, String detail) {
    static Outcome ok(String detail) {
      return new Outcome(true, detail);
    }

    static Outcome failed(String detail) {
      return new Outcome(false, detail);
    }

    static Outcome of(boolean success, String detail) {
      return new Outcome(success, detail);
    }
  }
}
