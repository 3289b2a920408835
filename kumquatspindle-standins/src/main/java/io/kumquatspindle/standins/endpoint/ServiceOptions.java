package io.kumquatspindle.standins.endpoint;

import java.time.Duration;

/**
 * Options of a simulated plain service.
 *
 * @param name the endpoint's name
 * @param delay simulated duration of each call
 * @param capacity the capacity stated in its report; not enforced
 * @param history maximum number of calls retained for {@code GET /history}
 */
public record ServiceOptions(String name, Duration delay, int capacity, int history) {}
