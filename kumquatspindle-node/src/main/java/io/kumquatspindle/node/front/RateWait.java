package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.engine.fleet.CustomerQueue;
import io.kumquatspindle.engine.fleet.RequestUrgency;
import io.kumquatspindle.node.peer.CustomerWaits;

/**
 * Charges one request to the rate of its customer, and waits on its behalf if the rate can cover it
 * early enough for the response to begin by its objective. Ends exactly once: the request is
 * charged, is rejected or is cancelled.
 */
final class RateWait implements CustomerWaits.RateWaiting {
  private final FrontContext context;
  private final Admission admission;
  private final CustomerInfo customer;
  private final long tokens;
  private final double cost;
  private final RequestUrgency urgency;
  private final Listener listener;
  private final long startedMs;
  private boolean waiting;

  /** Is notified of the end of the wait, unless the wait was cancelled. */
  interface Listener {
    /** Called when the request has been charged. */
    void onCharged();

    /** Called when the rate cannot cover the request in time. */
    void onOverRate(long retryAfterMs);

    /** Called when the configuration has changed during the wait. */
    void onConfigurationWhileWaiting();
  }

  RateWait(
      FrontContext context,
      Admission admission,
      CustomerInfo customer,
      long tokens,
      RequestUrgency urgency,
      Listener listener) {
    this.context = context;
    this.admission = admission;
    this.customer = customer;
    this.tokens = tokens;
    this.cost = customer.cost(tokens);
    this.urgency = urgency;
    this.listener = listener;
    this.startedMs = context.node().now();
  }

  /** Charges the request or starts to wait; the listener may be called before this returns. */
  void start(ExchangeLog log) {
    CustomerQueue.Decision decision = context.quotas().waits().offer(customer, this);
    if (decision.outcome() == CustomerQueue.Outcome.ADMITTED) {
      charged();
    } else if (decision.outcome() == CustomerQueue.Outcome.REFUSED) {
      listener.onOverRate(decision.delayMs());
    } else {
      waiting = true;
      log.waitsForRate(customer.name(), cost, decision.delayMs());
    }
  }

  /** Returns whether the request waits. */
  boolean waiting() {
    return waiting;
  }

  /** Ends the wait without a call to the listener. */
  void cancel() {
    if (waiting) {
      waiting = false;
      context.quotas().waits().remove(customer.name(), this);
    }
  }

  @Override
  public double cost() {
    return cost;
  }

  @Override
  public RequestUrgency urgency() {
    return urgency;
  }

  @Override
  public long usualMs() {
    return context.responseTimes().of(admission.route().name()).usualMs(tokens);
  }

  @Override
  public void proceed() {
    if (waiting) {
      waiting = false;
      context.metrics().recordRateWait(context.node().now() - startedMs);
      charged();
    } else {
      // Ended after the queue had charged it, by a request that was released before it.
      context.quotas().refund(customer, cost);
    }
  }

  private void charged() {
    admission.recordCharge(customer, cost);
    listener.onCharged();
  }

  @Override
  public void reject(long retryAfterMs) {
    if (waiting) {
      waiting = false;
      listener.onOverRate(retryAfterMs);
    }
  }

  @Override
  public void onConfiguration() {
    if (waiting) {
      listener.onConfigurationWhileWaiting();
    }
  }
}
