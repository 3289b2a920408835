package io.kumquatspindle.api.fleet;

import java.util.List;
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
 * @param promptTokens length of the prompt, in tokens; 0 if unknown
 * @param maxOutputTokens maximum number of tokens of the response; 0 if unknown
 * @param prompt the parts of the prompt, in order; the last one belongs to the request or its
 *     session, the others are shared with other requests
 * @param resumeAfter id of the last event that the caller received, if it resumes a stream
 */
public record RequestHead(
    String id,
    String host,
    Optional<String> key,
    long deadlineMs,
    String model,
    String adapter,
    long promptTokens,
    long maxOutputTokens,
    List<PromptPart> prompt,
    Optional<String> resumeAfter) {

  /** Copies the list. */
  public RequestHead {
    prompt = List.copyOf(prompt);
  }

  /**
   * Returns the size of the request.
   *
   * @return sum of prompt tokens and maximum output tokens; 0 if unknown
   */
  public long tokens() {
    return promptTokens + maxOutputTokens;
  }

  /**
   * Returns the parts of the prompt.
   *
   * @return identifiers of the parts, in order
   */
  public List<String> promptParts() {
    return prompt.stream().map(PromptPart::id).toList();
  }

  /**
   * Returns the part of the prompt that belongs to the request or its session.
   *
   * @return identifier of the part, or empty if the parts are unknown
   */
  public String sessionPart() {
    return prompt.isEmpty() ? "" : prompt.get(prompt.size() - 1).id();
  }

  /**
   * Returns the parts of the prompt that other requests may contain as well.
   *
   * @return identifiers of the parts, in order
   */
  public List<String> sharedParts() {
    List<String> ids = promptParts();
    return ids.isEmpty() ? List.of() : ids.subList(0, ids.size() - 1);
  }
}
