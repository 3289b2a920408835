package io.kumquatspindle.api.settings;

/** A settings file that a program cannot start with. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception whose message names file, section, key, value and what was expected.
   *
   * @param message the message
   */
  public SettingsException(String message) {
    super(message);
  }
}
