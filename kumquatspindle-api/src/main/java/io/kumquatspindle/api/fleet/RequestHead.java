package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * The properties of a request that are read from its headers.
 *
 * @param id request id, or empty if it has none
 * @param host host in lower case, without a port
 * @param key API key of the caller, if any
 * @param deadlineMs time that the caller allows for the request, in ms; {@link Long#MAX_VALUE} if
 *     not specified
 * @param model name of the model, or empty
 * @param adapter name of the adapter, or empty
 * @param tokens sum of prompt tokens and maximum output tokens; 0 if unknown
 * @param prefixHash identifier of the last part of the prompt, or empty
 * @param resumeAfter id of the last event that the caller received, if it resumes a stream
 */
public record RequestHead(
    String id,
    String host,
    Optional<String> key,
    long deadlineMs,
    String model,
    String adapter,
    long tokens,
    String prefixHash,
    Optional<String> resumeAfter) {}
