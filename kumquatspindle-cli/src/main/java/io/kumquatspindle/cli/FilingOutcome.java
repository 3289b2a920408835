package io.kumquatspindle.cli;

/**
 * What became of a ticket that was filed.
 *
 * @param result kind of the outcome
 * @param number the ticket's number
 * @param filing the filing identifier
 * @param detail what an operator needs to know, in one or more sentences
 */
record FilingOutcome(Result result, long number, String filing, String detail) {

  /** Kinds of outcomes. */
  enum Result {
    /** In the log and in force at all VMs that have read it. */
    ACCEPTED(ExitStatus.DONE),
    /** Another ticket has the number. */
    LOST_RACE(ExitStatus.REJECTED),
    /** Without effect because of its faults. */
    REJECTED(ExitStatus.REJECTED),
    /** Certainly not in the log. */
    NOT_FILED(ExitStatus.UNREACHABLE),
    /** Perhaps in the log. */
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
