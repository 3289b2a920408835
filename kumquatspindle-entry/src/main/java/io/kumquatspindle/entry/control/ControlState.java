package io.kumquatspindle.entry.control;

/**
 * State received from control.
 *
 * @param configuration the configuration and its freshness
 * @param placement replicas of models and adapters
 * @param loads load of the endpoints
 */
public record ControlState(
    ConfigurationView configuration, PlacementView placement, EndpointLoadView loads) {

  /**
   * Returns the state before the first message from control.
   *
   * @return empty state
   */
  public static ControlState empty() {
    return new ControlState(new ConfigurationView(), new PlacementView(), new EndpointLoadView());
  }
}
