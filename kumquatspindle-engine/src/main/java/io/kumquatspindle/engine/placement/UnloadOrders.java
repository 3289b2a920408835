package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.api.record.DecisionRecord.UnloadFinished;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Drains replicas whose unload this VM decided, sends the unload orders and records the outcomes.
 */
final class UnloadOrders {
  private final LoadContext context;
  private final Map<Long, Order> orders = new HashMap<>();

  UnloadOrders(LoadContext context, long now) {
    this.context = context;
    context.stateMachine.replicas().forEach(r -> track(r, now));
  }

  /** Tracks an unload if this VM sends its order. */
  void track(Replica r, long now) {
    if (r.state() == State.UNLOADING && r.unloader().filter(context.vm::equals).isPresent()) {
      orders.computeIfAbsent(r.unload(), k -> new Order(r.decision(), now));
    }
  }

  void orderFinished(long unloadOffset, int attempt, OrderResult result, long now) {
    Order order = orders.get(unloadOffset);
    if (order == null || !order.inFlight || order.attempt != attempt) {
      return;
    }
    order.inFlight = false;
    order.endedMs = now;
    if (result instanceof OrderResult.Done) {
      order.done = true;
    } else if (result instanceof OrderResult.Refused) {
      order.refused = true;
    }
  }

  void plan(long now) {
    Set<Long> stale =
        orders.entrySet().stream()
            .filter(e -> !isCurrent(e.getKey(), e.getValue()))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    orders.keySet().removeAll(stale);
    orders.forEach(
        (unloadOffset, order) -> {
          if (!order.inFlight) {
            plan(context.stateMachine.replica(order.decision).orElseThrow(), order, now);
          }
        });
  }

  private boolean isCurrent(long unloadOffset, Order order) {
    return context
        .stateMachine
        .replica(order.decision)
        .filter(r -> r.unload() == unloadOffset)
        .isPresent();
  }

  private void plan(Replica r, Order order, long now) {
    if (order.done || isConfirmedUnloaded(r, order)) {
      context.tryAppend(
          LoadContext.appendKey(r), new UnloadFinished(r.decision(), context.vm), now);
    } else if (order.refused) {
      // A new decision gives the order a higher fencing number, which the endpoint may accept.
      if (now >= order.endedMs + context.settings.resendMs()) {
        context.tryAppend(
            LoadContext.appendKey(r), new UnloadDecided(r.decision(), context.vm), now);
      }
    } else if (order.sent
        ? now >= order.endedMs + context.settings.resendMs()
        : isDrained(r, now)) {
      order.inFlight = true;
      order.attempt++;
      order.sent = true;
      context.addAction(
          new LoadAction.SendUnload(r.unload(), order.attempt, r.endpoint(), r.artifact()));
    }
  }

  private boolean isConfirmedUnloaded(Replica r, Order order) {
    long since = order.sent ? order.endedMs : order.decidedMs;
    return context.views.isReportedAbsent(r.endpoint(), r.artifact())
        && context.views.asOfMs(r.endpoint()) >= since + context.settings.reportLagMs();
  }

  private boolean isDrained(Replica r, long now) {
    long since = context.stateChangedMs(r, now);
    return context.endpointSpec(r.endpoint()).isPresent()
        && context.views.asOfMs(r.endpoint()) >= since + context.settings.drainMs()
        && !context.isBusy(r, now);
  }

  private static final class Order {
    private final long decision;
    private final long decidedMs;
    private int attempt;
    private boolean inFlight;
    private boolean sent;
    private boolean done;
    private boolean refused;
    private long endedMs;

    private Order(long decision, long decidedMs) {
      this.decision = decision;
      this.decidedMs = decidedMs;
    }
  }
}
