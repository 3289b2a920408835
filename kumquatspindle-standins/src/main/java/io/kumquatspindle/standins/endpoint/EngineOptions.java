package io.kumquatspindle.standins.endpoint;

import java.time.Duration;
import java.util.Set;

/**
 * Options of a simulated model engine.
 *
 * @param name the endpoint's name
 * @param memoryMb accelerator memory, in MB
 * @param fencing whether orders with a stale fencing number are rejected
 * @param capacity maximum number of concurrent requests; more are queued
 * @param maxWaiting maximum number of queued requests; more are rejected
 * @param firstToken time from the start of a request to its first token
 * @param perToken time between tokens
 * @param answerTokens maximum number of tokens in a response
 * @param memoryMbPerSecond speed of a load from the engine's main memory, in MB per second
 * @param diskMbPerSecond speed of a load from the engine's disk, in MB per second
 * @param inMemory artifacts whose checkpoint is in main memory initially
 * @param onDisk artifacts whose checkpoint is on disk initially
 * @param reportLag age of the state that {@code GET /report} returns
 * @param history maximum number of requests retained for {@code GET /history}
 */
public record EngineOptions(
    String name,
    long memoryMb,
    boolean fencing,
    int capacity,
    int maxWaiting,
    Duration firstToken,
    Duration perToken,
    int answerTokens,
    double memoryMbPerSecond,
    double diskMbPerSecond,
    Set<String> inMemory,
    Set<String> onDisk,
    Duration reportLag,
    int history) {}
