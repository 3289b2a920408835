package io.kumquatspindle.api.platform;

/**
 * State of the weight store.
 *
 * @param transfersRunning transfers that run now
 * @param megabytesPerSecond speed of one transfer at present, in MB a second
 */
public record StoreStatus(int transfersRunning, double megabytesPerSecond) {}
