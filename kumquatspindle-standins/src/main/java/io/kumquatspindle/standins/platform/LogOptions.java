package io.kumquatspindle.standins.platform;

import java.time.Duration;

/**
 * Options of the simulated log service.
 *
 * @param retention how long a record is retained
 * @param appendLatency simulated duration of each append
 * @param appendsPerSecond maximum rate of appends over all streams
 */
public record LogOptions(Duration retention, Duration appendLatency, int appendsPerSecond) {}
