package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.PromptCacheIndex;
import io.kumquatspindle.engine.fleet.RequestWork;
import io.kumquatspindle.node.NodeContext;

/** Tells the index of cached prompts which prompts the endpoints have read, and counts tokens. */
final class CachedPrompts {
  private final NodeContext node;

  CachedPrompts(NodeContext node) {
    this.node = node;
  }

  private static RequestWork work(RequestHead head) {
    return new RequestWork(
        head.model(),
        head.adapter(),
        head.prompt(),
        head.promptTokens(),
        head.maxOutputTokens(),
        0,
        0);
  }

  /**
   * Counts the prompt tokens of a request that is sent.
   *
   * @return how many of them the endpoint is expected to have cached
   */
  long recordSent(Endpoint endpoint, RequestHead head) {
    PromptCacheIndex index = node.promptCacheIndex();
    long cached = index.cachedTokens(endpoint, work(head), node.now());
    node.metrics().counter("prompt_tokens_sent_total").inc(head.promptTokens());
    node.metrics().counter("prompt_tokens_cached_total").inc(cached);
    return cached;
  }

  /** Records that an endpoint has read the prompt of a request. */
  void recordRead(Endpoint endpoint, RequestHead head) {
    node.promptCacheIndex().recordUse(endpoint, work(head), node.now());
  }
}
