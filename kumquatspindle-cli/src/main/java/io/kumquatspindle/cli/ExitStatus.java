package io.kumquatspindle.cli;

/** Exit codes of the command. */
enum ExitStatus {
  /** What was asked for is done. */
  DONE(0, "done"),
  /** The ticket does not take effect. */
  REJECTED(1, "the ticket was rejected, lost the race for its number, or does not exist"),
  /** The command cannot start. */
  USAGE(2, "faulty command line, settings or local file"),
  /** Nothing was changed. */
  UNREACHABLE(3, "the log or all controls are unreachable; nothing was filed"),
  /** The ticket may take effect. */
  UNKNOWN(4, "outcome unknown; repeat the same command"),
  /** The ticket is accepted. */
  NOT_EVERYWHERE(5, "the ticket is accepted but not (in time) in force on all live VMs");

  private final int code;
  private final String description;

  ExitStatus(int code, String description) {
    this.code = code;
    this.description = description;
  }

  int code() {
    return code;
  }

  String description() {
    return description;
  }
}
