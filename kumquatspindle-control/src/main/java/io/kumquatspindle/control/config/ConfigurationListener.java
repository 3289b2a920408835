package io.kumquatspindle.control.config;

/** Receives each new configuration. Called on the configuration controller's thread. */
@FunctionalInterface
public interface ConfigurationListener {

  /**
   * Handles a new active configuration. Must not block.
   *
   * @param state the published state
   */
  void configurationChanged(ConfigurationState state);
}
