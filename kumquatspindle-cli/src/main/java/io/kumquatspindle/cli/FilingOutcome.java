package io.kumquatspindle.cli;

/**
 * The outcome of filing a ticket.
 *
 * @param result kind of the outcome
 * @param number the ticket's number
 * @param filing the filing identifier
 * @param detail explanation for the operator, in one or more sentences
 */
record FilingOutcome(Result result, long number, String filing, String detail) {

  /** Kinds of outcomes. */
  enum Result {
    /** In the log, and in force on every VM that has read it. */
    ACCEPTED(ExitStatus.DONE),
    /** Without effect because another ticket with the same number was accepted first. */
    LOST_RACE(ExitStatus.REJECTED),
    /** Without effect because it failed validation. */
    REJECTED(ExitStatus.REJECTED),
    /** Certainly not in the log. */
    NOT_FILED(ExitStatus.UNREACHABLE),
    /** May or may not be in the log. */
    UNKNOWN(ExitStatus.UNKNOWN);

    private final ExitStatus status;

    Result(ExitStatus status) {
      this.status = status;
    }

    ExitStatus status() {
      return status;
    }
  }

  String text() {
    return "Ticket " + number + ": " + detail + "\n";
  }
}
