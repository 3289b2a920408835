package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.RequestUrgency;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Waits on behalf of one request that all endpoints of its service have rejected as they were full,
 * so that it can be sent again in time for its objective. Each attempt is taken from the retry
 * budget before the wait.
 */
final class SlotWait implements SlotWaits.SlotWaiting {
  private final FrontContext context;
  private final AttemptHistory history;
  private final Listener listener;
  private String service = "";
  private RequestUrgency urgency;
  private long latestMs;
  private long unreportedFromMs;

  /** Is notified of the end of each wait, unless the wait was cancelled. */
  interface Listener {
    /** Called when the search has to be started again, as an endpoint may have a free slot. */
    void onSlotExpected();

    /** Called when the request cannot be served in time any more. */
    void onNoSlot();
  }

  SlotWait(FrontContext context, AttemptHistory history, Listener listener) {
    this.context = context;
    this.history = history;
    this.listener = listener;
  }

  /**
   * Starts to wait, after which the endpoints that were full may be tried again.
   *
   * @param forService name of the service
   * @param ofRequest urgency of the request
   * @param usualMs usual time until its response begins, in ms
   * @param pauseMs time for which the endpoints want no requests, in ms, if they have said so
   * @return false if no endpoint was full, or if the request would wait in vain
   */
  boolean start(String forService, RequestUrgency ofRequest, long usualMs, OptionalLong pauseMs) {
    if (!history.anyFull()) {
      return false;
    }
    long now = context.node().now();
    service = forService;
    urgency = ofRequest;
    latestMs = Math.min(urgency.goalMs() - usualMs, urgency.deadlineMs());
    unreportedFromMs = now + Math.max(SlotWaits.INTERVAL_MS, pauseMs.orElse(0));
    boolean paused = pauseMs.isPresent();
    boolean reports =
        !paused
            && context.node().endpoints().available(service).stream()
                .anyMatch(e -> e.inFlight() > 0 && canUse(e.id()));
    boolean waits = context.slotWaits().offer(service, this, reports);
    if (waits) {
      context.metrics().recordSlotWait();
    }
    return waits;
  }

  /** Ends the wait without a call to the listener. */
  void cancel() {
    context.slotWaits().remove(service, this);
  }

  @Override
  public RequestUrgency urgency() {
    return urgency;
  }

  @Override
  public long latestMs() {
    return latestMs;
  }

  @Override
  public long unreportedFromMs() {
    return unreportedFromMs;
  }

  @Override
  public boolean canUse(String endpoint) {
    return history.rejectedAsFullBy(endpoint);
  }

  @Override
  public void proceed(Optional<String> endpoint) {
    endpoint.ifPresentOrElse(history::forgetFull, history::forgetFull);
    listener.onSlotExpected();
  }

  @Override
  public void reject() {
    listener.onNoSlot();
  }
}
