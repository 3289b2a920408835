package io.kumquatspindle.control.config;

/** Receives each new configuration; called on the configuration controller's thread. */
@FunctionalInterface
public interface ConfigurationListener {

  /**
   * Takes a configuration that has come into force. Must not block.
   *
   * @param state the published state
   */
  void configurationChanged(ConfigurationState state);
}
