package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.Permit;
import io.kumquatspindle.engine.fleet.RequestUrgency;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Waits on behalf of one request for permits of endpoints with a limit, one after the other. */
final class PermitWait {
  /** Longest wait of a request with the highest priority, in ms. */
  private static final long MAX_WAIT_MS = 1_000;

  /** Urgency of requests with about {@link #MAX_WAIT_MS} left, which may use all of it. */
  private static final int LAST_URGENT_LEVEL = 3;

  /** Delay after which a permit is not used any more because this VM has stood still, in ms. */
  private static final long MAX_DELAY_MS = 300;

  /** Bounds of the time for which an endpoint is avoided after a rejection, in ms. */
  private static final long MIN_AVOID_MS = 200;

  private static final long MAX_AVOID_MS = 1_000;

  private final FrontContext context;
  private final Listener listener;
  private OptionalLong retryAfterMs = OptionalLong.empty();
  private ScheduledFuture<?> timer;
  private long current;

  /** Is notified of the end of each wait, unless the wait was cancelled. */
  interface Listener {
    /** Called when the request may be sent to the endpoint. */
    void onPermitted(Endpoint endpoint);

    /** Called when the request cannot be sent to the endpoint in time. */
    void onPermitRejected(Endpoint endpoint);
  }

  PermitWait(FrontContext context, Listener listener) {
    this.context = context;
    this.listener = listener;
  }

  /**
   * Returns the longest wait of a request. The less urgent it is, the shorter: when the limit is
   * used up, what remains of it goes to urgent requests. A request with much time left yields to
   * those that need the permit now; as its objective comes near, it may wait longer.
   *
   * @param usableMs time that the request could wait for at most, in ms
   * @param urgency urgency of the request
   * @param now current time, in ms
   */
  static long maxWaitMs(long usableMs, RequestUrgency urgency, long now) {
    long byPriority = Math.min(usableMs, MAX_WAIT_MS) / (1 + Math.max(0, urgency.priority()));
    long byUrgency = MAX_WAIT_MS / (1 + Math.max(0, urgency.level(now) - LAST_URGENT_LEVEL));
    return Math.min(byPriority, byUrgency);
  }

  /** Starts to wait; the listener may be called before this method returns. */
  void start(Endpoint endpoint, long maxWaitMs) {
    long started = ++current;
    context
        .permits()
        .request(
            endpoint,
            maxWaitMs,
            permit -> {
              if (started == current) {
                onDecision(endpoint, permit, maxWaitMs);
              }
            });
  }

  private void onDecision(Endpoint endpoint, Permit permit, long maxWaitMs) {
    long now = context.node().now();
    if (!permit.granted()) {
      endpoint.avoidUntil(now + Math.max(MIN_AVOID_MS, Math.min(permit.delayMs(), MAX_AVOID_MS)));
      retryAfterMs =
          OptionalLong.of(Math.min(permit.delayMs(), retryAfterMs.orElse(Long.MAX_VALUE)));
      listener.onPermitRejected(endpoint);
    } else if (permit.delayMs() == 0) {
      listener.onPermitted(endpoint);
    } else {
      long dueMs = now + permit.delayMs();
      timer =
          context
              .node()
              .loop()
              .schedule(
                  () -> onDue(endpoint, dueMs, maxWaitMs), permit.delayMs(), TimeUnit.MILLISECONDS);
    }
  }

  private void onDue(Endpoint endpoint, long dueMs, long maxWaitMs) {
    if (context.node().now() - dueMs > MAX_DELAY_MS) {
      start(endpoint, maxWaitMs);
    } else {
      listener.onPermitted(endpoint);
    }
  }

  /** Ends the wait without a call to the listener. */
  void cancel() {
    current++;
    if (timer != null) {
      timer.cancel(false);
    }
  }

  /** Returns when a caller that was rejected should return, in ms, or empty if none was. */
  OptionalLong retryAfterMs() {
    return retryAfterMs;
  }
}
