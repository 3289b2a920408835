package io.kumquatspindle.cli;

/** Exit codes of the command-line tool. */
enum ExitStatus {
  /** The command succeeded. */
  DONE(0, "success"),
  /** The ticket has no effect. */
  REJECTED(1, "the ticket was rejected, lost the race for its number, or does not exist"),
  /** The command could not start. */
  USAGE(2, "invalid command line, settings or local file"),
  /** Nothing was changed. */
  UNREACHABLE(3, "the log or all controls are unreachable; nothing was filed"),
  /** The ticket may or may not have been accepted. */
  UNKNOWN(4, "outcome unknown; repeat the same command"),
  /** The ticket was accepted, but not all live VMs report it in force. */
  NOT_EVERYWHERE(5, "the ticket was accepted but is not (in time) in force on all live VMs");

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
