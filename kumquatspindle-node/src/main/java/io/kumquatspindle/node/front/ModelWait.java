package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.node.order.Waiter;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The wait of one request for its model, until it goes on, is refused or leaves; each once. */
final class ModelWait implements Waiter {
  private final FrontParts parts;
  private final RequestHead head;
  private final String service;
  private final long goalMs;
  private final long deadlineMs;
  private final Listener listener;
  private ScheduledFuture<?> limit;
  private boolean over;

  /** Told how the wait ends, unless the request leaves. */
  interface Listener {
    /** An endpoint holds the model. */
    void modelHeld();

    /** The model will not be held in time; a request that comes back later may find it. */
    void modelTooLate(long retryAfterMs);
  }

  private ModelWait(
      FrontParts parts,
      RequestHead head,
      String service,
      long goalMs,
      long deadlineMs,
      Listener listener) {
    this.parts = parts;
    this.head = head;
    this.service = service;
    this.goalMs = goalMs;
    this.deadlineMs = deadlineMs;
    this.listener = listener;
  }

  /** Begins to wait; the listener may be told before this returns. */
  static ModelWait begin(
      FrontParts parts,
      RequestHead head,
      String service,
      long goalMs,
      long deadlineMs,
      Listener listener) {
    ModelWait w = new ModelWait(parts, head, service, goalMs, deadlineMs, listener);
    long left = Math.max(0, deadlineMs - parts.node().now());
    w.limit =
        parts
            .node()
            .loop()
            .schedule(() -> w.refuse(Exchange.DEFAULT_RETRY_MS), left, TimeUnit.MILLISECONDS);
    parts.waits().enter(w);
    return w;
  }

  /** Ends the wait; the listener hears nothing more. */
  void leave() {
    if (end()) {
      parts.waits().leave(this);
    }
  }

  private boolean end() {
    if (over) {
      return false;
    }
    over = true;
    limit.cancel(false);
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
  public long goalMs() {
    return goalMs;
  }

  @Override
  public long deadlineMs() {
    return deadlineMs;
  }

  @Override
  public void proceed() {
    if (end()) {
      listener.modelHeld();
    }
  }

  @Override
  public void refuse(long retryAfterMs) {
    if (end()) {
      parts.waits().leave(this);
      listener.modelTooLate(retryAfterMs);
    }
  }
}
