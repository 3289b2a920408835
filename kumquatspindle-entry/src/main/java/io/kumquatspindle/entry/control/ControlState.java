package io.kumquatspindle.entry.control;

/**
 * The state that control sends.
 *
 * @param configuration configuration and its freshness
 * @param placement replicas
 * @param loads load of endpoints
 */
public record ControlState(
    ConfigurationView configuration, PlacementView placement, EndpointLoadView loads) {

  /**
   * Returns views that have received nothing.
   *
   * @return empty views
   */
  public static ControlState empty() {
    return new ControlState(new ConfigurationView(), new PlacementView(), new EndpointLoadView());
  }
}
