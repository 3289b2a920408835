package io.kumquatspindle.entry.request;

import java.time.Duration;

/**
 * Limits of single requests.
 *
 * @param bodyBytes largest body, in bytes
 * @param waitingRequests the most requests that wait for models
 * @param runningRequests the most requests that run on endpoints
 * @param bodyBytesAtOnce the most bytes of all bodies that are held at once
 * @param defaultDeadline deadline of a request that gives none
 * @param maxDeadline longest deadline
 * @param defaultMaxTokens tokens of an answer for a request that gives no limit
 */
public record RequestLimits(
    int bodyBytes,
    int waitingRequests,
    int runningRequests,
    long bodyBytesAtOnce,
    Duration defaultDeadline,
    Duration maxDeadline,
    long defaultMaxTokens) {}
