package io.kumquatspindle.entry.request;

import java.time.Duration;

/**
 * Limits of single requests.
 *
 * @param maxBodyBytes largest body, in bytes
 * @param maxWaitingRequests the most requests that wait for models
 * @param maxRunningRequests the most requests that run on endpoints
 * @param maxTotalBodyBytes the most bytes of all bodies that are held at once
 * @param defaultDeadline deadline of a request that gives none
 * @param maxDeadline longest deadline
 * @param defaultMaxTokens tokens of an answer for a request that gives no limit
 */
public record RequestLimits(
    int maxBodyBytes,
    int maxWaitingRequests,
    int maxRunningRequests,
    long maxTotalBodyBytes,
    Duration defaultDeadline,
    Duration maxDeadline,
    long defaultMaxTokens) {}
