package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.engine.request.RetryBudget;
import io.kumquatspindle.entry.control.ReplicaUses;
import io.kumquatspindle.entry.control.Views;
import io.kumquatspindle.entry.request.ModelWaitRoom;
import io.kumquatspindle.entry.request.Refusal;
import io.kumquatspindle.entry.request.RequestContext;
import io.kumquatspindle.entry.request.RequestEnvironment;
import io.kumquatspindle.entry.request.RequestFilter;
import java.util.function.Consumer;

/** Sends a request to endpoints until one has answered it or it is refused; the last filter. */
public final class DispatchFilter implements RequestFilter {
  final Views views;
  final EndpointPicker picker;
  final UpstreamClient client;
  final RunningAttempts running;
  final ReplicaUses uses;
  final ModelWaitRoom room;
  final RequestEnvironment env;
  private final RetryBudget budget;

  /**
   * Creates the filter.
   *
   * @param views state that control sends
   * @param picker picks endpoints
   * @param client sends calls
   * @param running gets the attempts in progress
   * @param uses counts requests on replicas
   * @param room where a request waits whose replica turned out not to be loaded
   * @param env clock, timers and observation
   */
  public DispatchFilter(
      Views views,
      EndpointPicker picker,
      UpstreamClient client,
      RunningAttempts running,
      ReplicaUses uses,
      ModelWaitRoom room,
      RequestEnvironment env) {
    this.views = views;
    this.picker = picker;
    this.client = client;
    this.running = running;
    this.uses = uses;
    this.room = room;
    this.env = env;
    this.budget = new RetryBudget(env.clock().nowMs());
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    if (!running.tryEnter()) {
      context.refuse(Refusal.of(ErrorKind.QUEUE_FULL, "too many requests are running"));
      return;
    }
    context.reply().onEnd(o -> running.leave());
    synchronized (budget) {
      budget.recordRequest(env.clock().nowMs());
    }
    new DispatchRun(this, context).next();
  }

  boolean mayRetry() {
    synchronized (budget) {
      return budget.tryAcquireRetry(env.clock().nowMs());
    }
  }
}
