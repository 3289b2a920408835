package io.kumquatspindle.entry.control;

/**
 * The state that control sends.
 *
 * @param configuration configuration and its freshness
 * @param placement replicas
 * @param loads load of endpoints
 */
public record Views(
    ConfigurationView configuration, PlacementView placement, EndpointLoadView loads) {

  /**
   * Returns views that have received nothing.
   *
   * @return empty views
   */
  public static Views empty() {
    return new Views(new ConfigurationView(), new PlacementView(), new EndpointLoadView());
  }
}
