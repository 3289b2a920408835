package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * What the head of a request says beside method and path.
 *
 * @param id identity of the request; empty text if it has none
 * @param host host in lower case, without a port
 * @param key key of the caller, if any
 * @param deadlineMs time that the caller waits, in ms; {@link Long#MAX_VALUE} if it does not say
 * @param model name of the model, or empty text
 * @param adapter name of the adapter, or empty text
 * @param tokens prompt tokens and most output tokens together; 0 if unknown
 * @param session identity of the last prompt part, or empty text
 * @param resumeAfter id of the last event that the caller has, if it resumes a stream
 */
public record CallHead(
    String id,
    String host,
    Optional<String> key,
    long deadlineMs,
    String model,
    String adapter,
    long tokens,
    String session,
    Optional<String> resumeAfter) {}
