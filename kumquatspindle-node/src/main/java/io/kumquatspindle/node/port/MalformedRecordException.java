package io.kumquatspindle.node.port;

/** Thrown for a record that cannot be decoded; the message states what was expected. */
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
   * @param cause failure of the decoding
   */
  public MalformedRecordException(String message, Throwable cause) {
    super(message, cause);
  }
}
