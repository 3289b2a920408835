package io.kumquatspindle.cli;

/** Ends the command with an error message and an exit code. */
final class CliException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitStatus status;

  CliException(ExitStatus status, String message) {
    super(message);
    this.status = status;
  }

  ExitStatus status() {
    return status;
  }
}
