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
 * only while no attempt of this VM is under way, since a later attempt would not be counted.
 */
final class LoadOrders {
  private final LoadContext context;
  private final Map<Long, Order> orders = new HashMap<>();

  LoadOrders(LoadContext context, long now) {
    this.context = context;
    context.fold.replicas().forEach(r -> follow(r, now));
  }

  /**
   * Follows a pending load if this VM is its sender. An order that a predecessor of this controller
   * may have sent is never sent again, since the predecessor's record of the outcome may still
   * reach the log and would then release a load that the second order has carried out.
   */
  void track(Replica r, DecisionRecord applied, long now) {
    follow(r, now)
        .filter(order -> context.isOwn(r))
        .ifPresent(
            order -> {
              if (applied instanceof LoadDecided) {
                order.unknown = false;
                send(r, order, now);
              } else {
                order.mayResend = true;
              }
            });
  }

  private Optional<Order> follow(Replica r, long now) {
    if (r.state() != State.PENDING
        || !r.sender().equals(context.vm)
        || orders.containsKey(r.decision())) {
      return Optional.empty();
    }
    Order order = new Order();
    order.unknown = true;
    order.endedMs = now;
    order.sentMs = now;
    orders.put(r.decision(), order);
    return Optional.of(order);
  }

  void finished(long decision, int attempt, OrderResult result, long now) {
    Order order = orders.get(decision);
    if (order == null || !order.underWay || order.attempt != attempt) {
      return;
    }
    order.underWay = false;
    order.endedMs = now;
    if (result instanceof OrderResult.Done) {
      order.loaded = Optional.of(true);
    } else if (result instanceof OrderResult.Unknown) {
      order.unknown = true;
    } else {
      order.refused = true;
      if (!order.unknown) {
        order.loaded = Optional.of(false);
      }
    }
  }

  void plan(long now) {
    Iterator<Map.Entry<Long, Order>> i = orders.entrySet().iterator();
    while (i.hasNext()) {
      Map.Entry<Long, Order> e = i.next();
      Replica r = context.fold.replica(e.getKey()).orElse(null);
      if (r == null || r.state() != State.PENDING || !r.sender().equals(context.vm)) {
        i.remove();
      } else if (!e.getValue().underWay) {
        plan(r, e.getValue(), now);
      }
    }
  }

  private void plan(Replica r, Order order, long now) {
    if (order.loaded.isEmpty()) {
      order.loaded = evidence(r, order, now);
    }
    if (order.loaded.isPresent()) {
      LoadFinished record = new LoadFinished(r.decision(), order.loaded.get(), context.vm);
      context.append(LoadContext.key(r), record, now);
    } else if (mayResend(r, order, now)) {
      send(r, order, now);
    }
  }

  private Optional<Boolean> evidence(Replica r, Order order, long now) {
    LoadSettings settings = context.settings;
    if (context.isRemoved(r.endpoint())) {
      boolean settled = now >= order.endedMs + settings.orderSettleMs();
      return settled ? Optional.of(false) : Optional.empty();
    }
    long asOf = context.views.asOfMs(r.endpoint());
    if (context.views.showsLoaded(r.endpoint(), r.artifact())) {
      boolean fresh = asOf >= order.sentMs + settings.reportLagMs();
      return fresh ? Optional.of(true) : Optional.empty();
    }
    boolean settled = asOf >= order.endedMs + settings.orderSettleMs();
    boolean absent = context.views.showsAbsent(r.endpoint(), r.artifact());
    return settled && absent ? Optional.of(false) : Optional.empty();
  }

  private boolean mayResend(Replica r, Order order, long now) {
    boolean fencing = context.spec(r.endpoint()).filter(EndpointSpec::fencing).isPresent();
    return fencing
        && order.mayResend
        && !order.refused
        && now >= order.endedMs + context.settings.resendMs();
  }

  private void send(Replica r, Order order, long now) {
    order.underWay = true;
    order.attempt++;
    order.mayResend = true;
    order.sentMs = now;
    context.emit(
        new LoadAction.SendLoad(
            r.decision(), order.attempt, r.endpoint(), r.artifact(), r.model(), r.memoryMb()));
  }

  private static final class Order {
    private int attempt;
    private boolean underWay;
    private boolean unknown;
    private boolean refused;
    private boolean mayResend;
    private long sentMs;
    private long endedMs;
    private Optional<Boolean> loaded = Optional.empty();
  }
}
