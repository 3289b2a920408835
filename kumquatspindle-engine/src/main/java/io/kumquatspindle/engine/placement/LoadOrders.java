package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadFinished;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * Sends the load orders of this VM's decisions and records their outcomes. An outcome is recorded
 * only while no attempt of this VM is in flight, since it would not cover a later attempt.
 */
final class LoadOrders {
  private final LoadContext context;
  private final Map<Long, Order> orders = new HashMap<>();

  LoadOrders(LoadContext context, long now) {
    this.context = context;
    context.stateMachine.replicas().forEach(r -> trackPending(r, now));
  }

  /**
   * Tracks a pending load if this VM is its sender. An order that a predecessor of this controller
   * may have sent is never resent: the predecessor's outcome record may still reach the log and
   * would then release the reservation of a load that the second order performed.
   */
  void track(Replica r, DecisionRecord applied, long now) {
    trackPending(r, now)
        .filter(order -> context.isOwnDecision(r))
        .ifPresent(
            order -> {
              if (applied instanceof LoadDecided) {
                order.outcomeUnknown = false;
                send(r, order, now);
              } else {
                order.resendAllowed = true;
              }
            });
  }

  private Optional<Order> trackPending(Replica r, long now) {
    if (r.state() != State.PENDING
        || !r.sender().equals(context.vm)
        || orders.containsKey(r.decision())) {
      return Optional.empty();
    }
    Order order = new Order();
    order.outcomeUnknown = true;
    order.endedMs = now;
    order.sentMs = now;
    orders.put(r.decision(), order);
    return Optional.of(order);
  }

  void orderFinished(long decision, int attempt, OrderResult result, long now) {
    Order order = orders.get(decision);
    if (order == null || !order.inFlight || order.attempt != attempt) {
      return;
    }
    order.inFlight = false;
    order.endedMs = now;
    if (result instanceof OrderResult.Done) {
      order.outcome = Optional.of(true);
    } else if (result instanceof OrderResult.Unknown) {
      order.outcomeUnknown = true;
    } else {
      order.refused = true;
      if (!order.outcomeUnknown) {
        order.outcome = Optional.of(false);
      }
    }
  }

  void plan(long now) {
    Iterator<Map.Entry<Long, Order>> i = orders.entrySet().iterator();
    while (i.hasNext()) {
      Map.Entry<Long, Order> e = i.next();
      Replica r = context.stateMachine.replica(e.getKey()).orElse(null);
      if (r == null || r.state() != State.PENDING || !r.sender().equals(context.vm)) {
        i.remove();
      } else if (!e.getValue().inFlight) {
        plan(r, e.getValue(), now);
      }
    }
  }

  private void plan(Replica r, Order order, long now) {
    if (order.outcome.isEmpty()) {
      order.outcome = reportedOutcome(r, order, now);
    }
    if (order.outcome.isPresent()) {
      LoadFinished record = new LoadFinished(r.decision(), order.outcome.get(), context.vm);
      context.tryAppend(LoadContext.appendKey(r), record, now);
    } else if (shouldResend(r, order, now)) {
      send(r, order, now);
    }
  }

  private Optional<Boolean> reportedOutcome(Replica r, Order order, long now) {
    LoadSettings settings = context.settings;
    if (context.isRemoved(r.endpoint())) {
      boolean settled = now >= order.endedMs + settings.orderSettleMs();
      return settled ? Optional.of(false) : Optional.empty();
    }
    long asOf = context.views.asOfMs(r.endpoint());
    if (context.views.isReportedLoaded(r.endpoint(), r.artifact())) {
      boolean fresh = asOf >= order.sentMs + settings.reportLagMs();
      return fresh ? Optional.of(true) : Optional.empty();
    }
    boolean settled = asOf >= order.endedMs + settings.orderSettleMs();
    boolean absent = context.views.isReportedAbsent(r.endpoint(), r.artifact());
    return settled && absent ? Optional.of(false) : Optional.empty();
  }

  private boolean shouldResend(Replica r, Order order, long now) {
    boolean fencing = context.endpointSpec(r.endpoint()).filter(EndpointSpec::fencing).isPresent();
    return fencing
        && order.resendAllowed
        && !order.refused
        && now >= order.endedMs + context.settings.resendMs();
  }

  private void send(Replica r, Order order, long now) {
    order.inFlight = true;
    order.attempt++;
    order.resendAllowed = true;
    order.sentMs = now;
    context.addAction(
        new LoadAction.SendLoad(
            r.decision(), order.attempt, r.endpoint(), r.artifact(), r.model(), r.memoryMb()));
  }

  private static final class Order {
    private int attempt;
    private boolean inFlight;
    private boolean outcomeUnknown;
    private boolean refused;
    private boolean resendAllowed;
    private long sentMs;
    private long endedMs;
    private Optional<Boolean> outcome = Optional.empty();
  }
}
