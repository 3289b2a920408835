package io.kumquatspindle.standins.platform;

/**
 * Options of the simulated weight store.
 *
 * @param transfersAtOnce number of concurrent transfers that run at full speed; more share the same
 *     total bandwidth
 * @param megabytesPerSecond full speed of one transfer, in MB per second
 * @param loadsPerSecond maximum number of transfers that start per second; further ones are delayed
 */
public record StoreOptions(int transfersAtOnce, double megabytesPerSecond, double loadsPerSecond) {}
