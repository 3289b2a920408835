package io.kumquatspindle.api.fleet;

/**
 * A model that endpoints can load.
 *
 * @param name name of the model
 * @param weightsMb size of its weights, in MB
 * @param storeLoadMs time to load it from the weight store, in ms
 * @param diskLoadMs time to load it from the endpoint's disk, in ms
 * @param memoryLoadMs time to load it from the endpoint's main memory, in ms
 * @param adapterMb size of one of its adapters, in MB
 * @param adapters number of its adapters
 */
public record ModelInfo(
    String name,
    double weightsMb,
    long storeLoadMs,
    long diskLoadMs,
    long memoryLoadMs,
    double adapterMb,
    int adapters) {}
