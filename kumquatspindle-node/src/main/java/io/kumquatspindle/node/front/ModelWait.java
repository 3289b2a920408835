package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.engine.fleet.Home;
import io.kumquatspindle.engine.fleet.RequestUrgency;
import io.kumquatspindle.node.order.PendingRequest;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Waits on behalf of one request until an endpoint holds its model. Ends exactly once: the request
 * proceeds, is rejected or is cancelled.
 */
final class ModelWait implements PendingRequest {
  private final FrontContext context;
  private final RequestHead head;
  private final String service;
  private final Home home;
  private final RequestUrgency urgency;
  private final long deadlineMs;
  private final Listener listener;
  private ScheduledFuture<?> deadlineTimer;
  private boolean finished;

  /** Is notified of the end of the wait, unless the wait was cancelled. */
  interface Listener {
    /** Called when an endpoint holds the model. */
    void onModelAvailable();

    /** Called when no endpoint will hold the model in time; a later retry may find it loaded. */
    void onModelUnavailable(long retryAfterMs);
  }

  private ModelWait(
      FrontContext context,
      RequestHead head,
      EndpointCandidates candidates,
      RequestUrgency urgency,
      long deadlineMs,
      Listener listener) {
    this.context = context;
    this.head = head;
    this.service = candidates.service();
    this.home = candidates.home();
    this.urgency = urgency;
    this.deadlineMs = deadlineMs;
    this.listener = listener;
  }

  /** Starts to wait; the listener may be called before this method returns. */
  static ModelWait start(
      FrontContext context,
      RequestHead head,
      EndpointCandidates candidates,
      RequestUrgency urgency,
      long deadlineMs,
      Listener listener) {
    ModelWait wait = new ModelWait(context, head, candidates, urgency, deadlineMs, listener);
    long remainingMs = Math.max(0, deadlineMs - context.node().now());
    wait.deadlineTimer =
        context
            .node()
            .loop()
            .schedule(
                () -> wait.reject(Exchange.DEFAULT_RETRY_AFTER_MS),
                remainingMs,
                TimeUnit.MILLISECONDS);
    context.pendingRequests().add(wait);
    return wait;
  }

  /** Ends the wait without a call to the listener. */
  void cancel() {
    if (finish()) {
      context.pendingRequests().remove(this);
    }
  }

  private boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    deadlineTimer.cancel(false);
    return true;
  }

  @Override
  public String requestId() {
    return head.id();
  }

  @Override
  public String service() {
    return service;
  }

  @Override
  public String model() {
    return head.model();
  }

  @Override
  public String adapter() {
    return head.adapter();
  }

  @Override
  public Home home() {
    return home;
  }

  @Override
  public long goalMs() {
    return urgency.goalMs();
  }

  @Override
  public RequestUrgency urgency() {
    return urgency;
  }

  @Override
  public long deadlineMs() {
    return deadlineMs;
  }

  @Override
  public void proceed() {
    if (finish()) {
      listener.onModelAvailable();
    }
  }

  @Override
  public void reject(long retryAfterMs) {
    if (finish()) {
      context.pendingRequests().remove(this);
      listener.onModelUnavailable(retryAfterMs);
    }
  }
}
