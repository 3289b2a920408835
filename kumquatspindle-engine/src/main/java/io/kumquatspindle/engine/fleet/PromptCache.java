package io.kumquatspindle.engine.fleet;

/** Estimates how much of a prompt an endpoint still holds from earlier requests. */
public interface PromptCache {
  /** Nothing is known to be held. */
  PromptCache NONE = (endpoint, work, now) -> 0;

  /**
   * Returns the tokens of a prompt that the endpoint need not read again.
   *
   * @param endpoint the endpoint
   * @param work the request
   * @param now current time, in ms
   * @return number of tokens from the beginning of the prompt; 0 if nothing is known
   */
  long cachedTokens(Endpoint endpoint, RequestWork work, long now);
}
