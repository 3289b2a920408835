package io.kumquatspindle.api.fleet;

/**
 * A model that endpoints can load.
 *
 * @param name name of the model
 * @param weightsMb size of its weights, in MB
 * @param storeMs time to load from the weight store, in ms
 * @param diskMs time to load from the endpoint's disk, in ms
 * @param memoryMs time to load from the endpoint's main memory, in ms
 * @param adapterMb size of one of its adapters, in MB
 * @param adapters number of its adapters
 */
public record ModelInfo(
    String name,
    double weightsMb,
    long storeMs,
    long diskMs,
    long memoryMs,
    double adapterMb,
    int adapters) {}
