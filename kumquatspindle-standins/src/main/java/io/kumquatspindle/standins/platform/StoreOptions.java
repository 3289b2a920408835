package io.kumquatspindle.standins.platform;

/**
 * Options of the weight store.
 *
 * @param transfersAtOnce transfers that run at full speed at once; more share the same total
 * @param megabytesPerSecond full speed of one transfer, in MB a second
 * @param loadsPerSecond most transfers that start each second; later ones wait
 */
public record StoreOptions(int transfersAtOnce, double megabytesPerSecond, double loadsPerSecond) {}
