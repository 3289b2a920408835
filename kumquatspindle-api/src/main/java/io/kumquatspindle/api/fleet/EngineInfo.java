package io.kumquatspindle.api.fleet;

import java.util.Map;

/**
 * What all model engines of a service have in common.
 *
 * @param slots requests that run at once
 * @param cacheTokens tokens that fit into the memory for prompts
 * @param weightsMb memory for weights and adapters, in MB
 * @param adapterPlaces adapters that fit at once
 * @param storeLoadsPerS loads from the weight store a second, over all endpoints
 * @param models models by name
 */
public record EngineInfo(
    int slots,
    long cacheTokens,
    double weightsMb,
    int adapterPlaces,
    double storeLoadsPerS,
    Map<String, ModelInfo> models) {

  /** Copies the map. */
  public EngineInfo {
    models = Map.copyOf(models);
  }
}
