package io.kumquatspindle.api.fleet;

import java.util.Map;

/**
 * Properties shared by all model engines of a service.
 *
 * @param slots maximum number of concurrent requests per engine
 * @param promptCacheTokens capacity of the prompt (KV) cache, in tokens
 * @param weightMemoryMb memory for model weights and adapters, in MB
 * @param maxAdapters maximum number of adapters loaded at the same time
 * @param storeLoadsPerSecond loads from the weight store per second, across all endpoints
 * @param models models by name
 */
public record EngineInfo(
    int slots,
    long promptCacheTokens,
    double weightMemoryMb,
    int maxAdapters,
    double storeLoadsPerSecond,
    Map<String, ModelInfo> models) {

  /** Copies the map. */
  public EngineInfo {
    models = Map.copyOf(models);
  }
}
