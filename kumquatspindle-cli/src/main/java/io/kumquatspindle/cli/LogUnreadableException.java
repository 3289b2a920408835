package io.kumquatspindle.cli;

/** The tickets cannot be read from the log now. */
final class LogUnreadableException extends Exception {
  private static final long serialVersionUID = 1L;

  LogUnreadableException(String message) {
    super(message);
  }
}
