package io.kumquatspindle.node.peer;

import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.engine.fleet.CustomerQueue;
import io.kumquatspindle.node.NodeContext;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntSupplier;

/** Holds the requests of all customers that wait for the rates of their customers at this VM. */
public final class CustomerWaits {
  /** Maximum number of requests that may wait at one VM, also for models; each keeps its body. */
  private static final int MAX_WAITING = 1_000;

  /** Remaining time below which a waiting request is rejected, in ms. */
  private static final long DEADLINE_MARGIN_MS = 80;

  private final NodeContext node;
  private final QuotaEnforcer quotas;
  private final Map<String, CustomerQueue> queues = new HashMap<>();
  private final Random random = new Random();
  private Runnable workListener = () -> {};
  private IntSupplier otherWaiting = () -> 0;

  /** A request that waits for the rate of its customer. */
  public interface RateWaiting extends CustomerQueue.Waiting {
    /** Continues the request, whose cost has been charged. */
    void proceed();

    /**
     * Rejects the request; it cannot be served in time any more.
     *
     * @param retryAfterMs time after which the caller may retry, in ms
     */
    void reject(long retryAfterMs);

    /** Handles that the configuration has changed, so that the request may be denied now. */
    void onConfiguration();
  }

  CustomerWaits(NodeContext node, QuotaEnforcer quotas) {
    this.node = node;
    this.quotas = quotas;
  }

  /**
   * Sets the listener that is called when a request begins to wait, so that {@link #tick} has work.
   *
   * @param listener the listener, called on the event loop
   */
  public void setWorkListener(Runnable listener) {
    workListener = listener;
  }

  /**
   * Sets the source of the number of requests that wait for other reasons.
   *
   * @param count returns the number
   */
  public void setOtherWaiting(IntSupplier count) {
    otherWaiting = count;
  }

  /**
   * Charges a request at once, lets it wait or refuses it. A request that waits either proceeds, is
   * rejected or is removed by {@link #remove}.
   *
   * @param customer the customer
   * @param request the request
   * @return the decision
   */
  public CustomerQueue.Decision offer(CustomerInfo customer, RateWaiting request) {
    CustomerQueue queue =
        queues.computeIfAbsent(
            customer.name(), n -> new CustomerQueue(quotas.quota(customer), random::nextDouble));
    boolean mayWait = count() + otherWaiting.getAsInt() < MAX_WAITING;
    CustomerQueue.Decision decision = queue.offer(request, mayWait, quotas.shares(), node.now());
    if (decision.outcome() == CustomerQueue.Outcome.WAITS) {
      node.metrics().counter("rate_waits_total").inc();
      workListener.run();
    }
    return decision;
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param customer name of the customer
   * @param request the request
   */
  public void remove(String customer, RateWaiting request) {
    CustomerQueue queue = queues.get(customer);
    if (queue != null) {
      queue.remove(request);
    }
  }

  /**
   * Returns whether {@link #tick} has work.
   *
   * @return whether requests are waiting
   */
  public boolean hasWork() {
    return queues.values().stream().anyMatch(q -> q.size() > 0);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return number of requests of all customers
   */
  public int count() {
    return queues.values().stream().mapToInt(CustomerQueue::size).sum();
  }

  /** Rejects the requests that are too late, and releases those whose turn has come. */
  public void tick() {
    // The tasks of a VM run together, also while only others have work.
    if (!hasWork()) {
      return;
    }
    long now = node.now();
    CustomerQueue.Shares shares = quotas.shares();
    for (CustomerQueue queue : List.copyOf(queues.values())) {
      if (queue.size() > 0) {
        queue
            .removeLate(DEADLINE_MARGIN_MS, shares, now)
            .forEach(w -> reject((RateWaiting) w, queue.retryAfterMs(w, shares, now)));
        queue.release(shares, now).forEach(w -> proceed((RateWaiting) w));
      }
    }
  }

  private void proceed(RateWaiting request) {
    node.metrics().counter("rate_waits_released_total").inc();
    try {
      request.proceed();
    } catch (RuntimeException e) {
      // The requests released with this one must proceed all the same.
      node.log().internalError(e);
    }
  }

  private void reject(RateWaiting request, long retryAfterMs) {
    node.metrics().counter("rate_waits_rejected_total").inc();
    request.reject(retryAfterMs);
  }

  /** Lets the waiting requests check whether the new configuration still allows them. */
  void onConfiguration() {
    for (CustomerQueue queue : List.copyOf(queues.values())) {
      queue.waiting().forEach(w -> ((RateWaiting) w).onConfiguration());
    }
  }
}
