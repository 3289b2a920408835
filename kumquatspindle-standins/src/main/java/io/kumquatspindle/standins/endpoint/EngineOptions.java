package io.kumquatspindle.standins.endpoint;

import java.time.Duration;
import java.util.Set;

/**
 * Options of a model engine.
 *
 * @param name the endpoint's name
 * @param memoryMb accelerator memory, in MB
 * @param fencing whether orders with an old fencing number are refused
 * @param capacity requests that run at once; more wait
 * @param maxWaiting requests that wait at once; more are refused
 * @param firstToken time from the start of a request to its first token
 * @param perToken time between tokens
 * @param answerTokens most tokens of an answer
 * @param memoryMbPerSecond speed of a load from the engine's main memory, in MB a second
 * @param diskMbPerSecond speed of a load from the engine's disk, in MB a second
 * @param inMemory artifacts whose checkpoint is in main memory at the start
 * @param onDisk artifacts whose checkpoint is on disk at the start
 * @param reportLag age of the report that is given
 * @param history most requests kept for {@code GET /history}
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
