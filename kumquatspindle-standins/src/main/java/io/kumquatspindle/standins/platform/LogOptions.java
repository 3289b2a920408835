package io.kumquatspindle.standins.platform;

import java.time.Duration;

/**
 * Options of the log service.
 *
 * @param retention how long a record is kept
 * @param appendLatency time that each append takes
 * @param appendsPerSecond most appends a second over all streams
 */
public record LogOptions(Duration retention, Duration appendLatency, int appendsPerSecond) {}
