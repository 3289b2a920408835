package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.engine.request.RetryBudget;
import io.kumquatspindle.entry.control.ControlState;
import io.kumquatspindle.entry.control.ReplicaUsageTracker;
import io.kumquatspindle.entry.request.ModelWaitQueue;
import io.kumquatspindle.entry.request.RequestContext;
import io.kumquatspindle.entry.request.RequestEnvironment;
import io.kumquatspindle.entry.request.RequestError;
import io.kumquatspindle.entry.request.RequestFilter;
import java.util.function.Consumer;

/**
 * Last filter: sends a request to endpoints until one responds or no further attempt is allowed.
 */
public final class DispatchFilter implements RequestFilter {
  final ControlState controlState;
  final EndpointPicker picker;
  final UpstreamClient client;
  final RunningAttempts runningAttempts;
  final ReplicaUsageTracker replicaUsage;
  final ModelWaitQueue waitQueue;
  final RequestEnvironment env;
  private final RetryBudget retryBudget;

  /**
   * Creates the filter.
   *
   * @param controlState state received from control
   * @param picker selects endpoints
   * @param client HTTP client for calls to endpoints
   * @param runningAttempts tracks the attempts in progress
   * @param replicaUsage counts requests in flight on replicas
   * @param waitQueue holds requests whose replica turned out not to be loaded
   * @param env clock, timers, metrics and tracing
   */
  public DispatchFilter(
      ControlState controlState,
      EndpointPicker picker,
      UpstreamClient client,
      RunningAttempts runningAttempts,
      ReplicaUsageTracker replicaUsage,
      ModelWaitQueue waitQueue,
      RequestEnvironment env) {
    this.controlState = controlState;
    this.picker = picker;
    this.client = client;
    this.runningAttempts = runningAttempts;
    this.replicaUsage = replicaUsage;
    this.waitQueue = waitQueue;
    this.env = env;
    this.retryBudget = new RetryBudget(env.clock().nowMs());
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    if (!runningAttempts.tryAcquireSlot()) {
      context.fail(RequestError.of(ErrorKind.QUEUE_FULL, "too many requests are running"));
      return;
    }
    context.reply().onEnd(o -> runningAttempts.releaseSlot());
    synchronized (retryBudget) {
      retryBudget.recordRequest(env.clock().nowMs());
    }
    new AttemptSequence(this, context).nextAttempt();
  }

  boolean tryAcquireRetry() {
    synchronized (retryBudget) {
      return retryBudget.tryAcquireRetry(env.clock().nowMs());
    }
  }
}
