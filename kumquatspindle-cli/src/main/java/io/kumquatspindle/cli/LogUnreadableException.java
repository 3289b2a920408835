package io.kumquatspindle.cli;

/** Signals that the tickets cannot be read from the log at present. */
final class LogUnreadableException extends Exception {
  private static final long serialVersionUID = 1L;

  LogUnreadableException(String message) {
    super(message);
  }
}
