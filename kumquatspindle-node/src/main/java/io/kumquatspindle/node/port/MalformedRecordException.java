package io.kumquatspindle.node.port;

/** A record that cannot be read; its message says what was expected. */
public final class MalformedRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what was expected and what was found
   */
  public MalformedRecordException(String message) {
    super(message);
  }

  /**
   * Creates the exception.
   *
   * @param message what was expected and what was found
   * @param cause why the bytes cannot be read
   */
  public MalformedRecordException(String message, Throwable cause) {
    super(message, cause);
  }
}
