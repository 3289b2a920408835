package io.kumquatspindle.api.platform;

/**
 * The status of the weight store.
 *
 * @param transfersRunning number of transfers in progress
 * @param megabytesPerSecond current throughput of a single transfer, in MB per second
 */
public record StoreStatus(int transfersRunning, double megabytesPerSecond) {}
