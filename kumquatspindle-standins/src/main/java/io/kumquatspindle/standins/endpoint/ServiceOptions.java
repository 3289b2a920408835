package io.kumquatspindle.standins.endpoint;

import java.time.Duration;

/**
 * Options of a plain service.
 *
 * @param name the endpoint's name
 * @param delay time that each call takes
 * @param capacity the capacity that its report states; not enforced
 * @param history most calls kept for {@code GET /history}
 */
public record ServiceOptions(String name, Duration delay, int capacity, int history) {}
