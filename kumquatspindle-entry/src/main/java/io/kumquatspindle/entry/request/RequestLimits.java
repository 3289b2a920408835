package io.kumquatspindle.entry.request;

import java.time.Duration;

/**
 * Limits on requests.
 *
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxWaitingRequests maximum number of requests that wait for models
 * @param maxRunningRequests maximum number of requests that run on endpoints
 * @param maxTotalBodyBytes maximum total size of the request bodies held in memory, in bytes
 * @param defaultDeadline timeout of a request that sets none
 * @param maxDeadline upper limit on the timeout of a request
 * @param defaultMaxTokens assumed token limit of a completion request that sets none
 */
public record RequestLimits(
    int maxBodyBytes,
    int maxWaitingRequests,
    int maxRunningRequests,
    long maxTotalBodyBytes,
    Duration defaultDeadline,
    Duration maxDeadline,
    long defaultMaxTokens) {}
