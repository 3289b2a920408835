package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.RouteSpec;

/** Decides whether one request may be sent once more, and takes the retry from the budget. */
final class RetryRules {
  private final FrontContext context;
  private final RequestHead head;
  private final ResponseForwarder forwarder;
  private final AttemptHistory history;
  private final EndpointCandidates candidates;

  RetryRules(
      FrontContext context,
      RequestHead head,
      ResponseForwarder forwarder,
      AttemptHistory history,
      EndpointCandidates candidates) {
    this.context = context;
    this.head = head;
    this.forwarder = forwarder;
    this.history = history;
    this.candidates = candidates;
  }

  /** Takes a retry from the budget of the service, if one is left. */
  boolean take(String reason) {
    boolean allowed = context.retryBudgets().tryRetry(candidates.service());
    if (allowed) {
      context.metrics().recordRetry(reason);
    }
    return allowed;
  }

  /** Takes a retry for a request whose response broke off, if the request may run again. */
  boolean takeForBroken(RouteSpec route) {
    return mayRunAgain(route) && take("broken");
  }

  /**
   * Takes a retry for a request that makes no progress, if another endpoint can serve it. Without
   * one, or without a retry left, the attempt goes on: it may be slow but sound.
   */
  boolean takeForStalled(RouteSpec route) {
    long now = context.node().now();
    return mayRunAgain(route)
        && candidates.hasUntried(history.tried(), e -> e.unrestricted(now) && !e.limited())
        && take("stalled");
  }

  /** Takes a retry for a request that the endpoint answered with a failure. */
  boolean takeForFailure(RouteSpec route) {
    return route.repeatable()
        && history.mayRetry(route)
        && candidates.hasUntried(history.tried(), e -> !e.limited())
        && take("failure_answered");
  }

  /** Returns whether the request may be sent to another endpoint although it may have run. */
  private boolean mayRunAgain(RouteSpec route) {
    return (!forwarder.started() || route.resumable())
        && history.mayRetry(route)
        && !context.promptGuard().suspects(head);
  }
}
