package io.kumquatspindle.api.settings;

/** Thrown when a settings file is unreadable or contains errors. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception with a message that states file, section, key, value and the expected
   * value.
   *
   * @param message the message
   */
  public SettingsException(String message) {
    super(message);
  }
}
