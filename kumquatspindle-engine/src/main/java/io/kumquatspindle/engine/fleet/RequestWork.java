package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.PromptPart;
import io.kumquatspindle.api.fleet.RequestHead;
import java.util.List;

/**
 * What the choice of an endpoint considers of one request.
 *
 * @param model name of the model, or an empty string
 * @param adapter name of the adapter, or an empty string
 * @param prompt parts of the prompt, in order; the last one belongs to the request or its session
 * @param promptTokens length of the prompt; 0 if unknown
 * @param maxOutputTokens maximum number of tokens of the response; 0 if unknown
 * @param goalInMs time from now until the caller should have the first byte, in ms; negative if
 *     past
 * @param deadlineInMs time from now until the deadline, in ms
 */
public record RequestWork(
    String model,
    String adapter,
    List<PromptPart> prompt,
    long promptTokens,
    long maxOutputTokens,
    long goalInMs,
    long deadlineInMs) {

  /** Copies the list. */
  public RequestWork {
    prompt = List.copyOf(prompt);
  }

  /**
   * Creates the view of a request by its head.
   *
   * @param head head of the request
   * @param goalInMs time until the caller should have the first byte, in ms
   * @param deadlineInMs time until the deadline, in ms
   * @return the request
   */
  public static RequestWork of(RequestHead head, long goalInMs, long deadlineInMs) {
    return new RequestWork(
        head.model(),
        head.adapter(),
        head.prompt(),
        head.promptTokens(),
        head.maxOutputTokens(),
        goalInMs,
        deadlineInMs);
  }

  /**
   * Returns the size of the request.
   *
   * @return tokens of the prompt and of the longest possible response
   */
  public long tokens() {
    return promptTokens + maxOutputTokens;
  }

  /**
   * Returns the part of the prompt that belongs to the request or its session.
   *
   * @return identifier of the part, or an empty string if the parts are unknown
   */
  public String sessionPart() {
    return prompt.isEmpty() ? "" : prompt.get(prompt.size() - 1).id();
  }
}
