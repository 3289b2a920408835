package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.api.record.DecisionRecord.UnloadFinished;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Drains replicas whose unload this VM decided, sends the unload orders, records the outcomes. */
final class UnloadOrders {
  private final LoadContext context;
  private final Map<Long, Order> orders = new HashMap<>();

  UnloadOrders(LoadContext context, long now) {
    this.context = context;
    context.fold.replicas().forEach(r -> track(r, now));
  }

  /** Follows an unload if this VM sends its order. */
  void track(Replica r, long now) {
    if (r.state() == State.UNLOADING && r.unloader().filter(context.vm::equals).isPresent()) {
      orders.computeIfAbsent(r.unload(), k -> new Order(r.decision(), now));
    }
  }

  void finished(long unload, int attempt, OrderResult result, long now) {
    Order order = orders.get(unload);
    if (order == null || !order.underWay || order.attempt != attempt) {
      return;
    }
    order.underWay = false;
    order.endedMs = now;
    if (result instanceof OrderResult.Done) {
      order.done = true;
    } else if (result instanceof OrderResult.Refused) {
      order.refused = true;
    }
  }

  void plan(long now) {
    Set<Long> over =
        orders.entrySet().stream()
            .filter(e -> !isCurrent(e.getKey(), e.getValue()))
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    orders.keySet().removeAll(over);
    orders.forEach(
        (unload, order) -> {
          if (!order.underWay) {
            plan(context.fold.replica(order.decision).orElseThrow(), order, now);
          }
        });
  }

  private boolean isCurrent(long unload, Order order) {
    return context.fold.replica(order.decision).filter(r -> r.unload() == unload).isPresent();
  }

  private void plan(Replica r, Order order, long now) {
    if (order.done || isGone(r, order)) {
      context.append(LoadContext.key(r), new UnloadFinished(r.decision(), context.vm), now);
    } else if (order.refused) {
      // A newer decision gives the order a fencing number that the endpoint has not passed yet.
      if (now >= order.endedMs + context.settings.resendMs()) {
        context.append(LoadContext.key(r), new UnloadDecided(r.decision(), context.vm), now);
      }
    } else if (order.sent ? now >= order.endedMs + context.settings.resendMs() : drained(r, now)) {
      order.underWay = true;
      order.attempt++;
      order.sent = true;
      context.emit(
          new LoadAction.SendUnload(r.unload(), order.attempt, r.endpoint(), r.artifact()));
    }
  }

  private boolean isGone(Replica r, Order order) {
    long since = order.sent ? order.endedMs : order.decidedMs;
    return context.views.showsAbsent(r.endpoint(), r.artifact())
        && context.views.asOfMs(r.endpoint()) >= since + context.settings.reportLagMs();
  }

  private boolean drained(Replica r, long now) {
    long since = context.changedMs(r, now);
    return context.spec(r.endpoint()).isPresent()
        && context.views.asOfMs(r.endpoint()) >= since + context.settings.drainMs()
        && !context.isBusy(r, now);
  }

  private static final class Order {
    private final long decision;
    private final long decidedMs;
    private int attempt;
    private boolean underWay;
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
