package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.EngineReport;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ModelOrder;
import io.kumquatspindle.api.fleet.OrderResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Schedules the load and evict orders for one endpoint, on the VM that owns it. Orders are sent one
 * at a time, each with the number of orders that the endpoint must have accepted before, so that a
 * late execution has no effect. For bursts of requests for rarely used models, a model in high
 * demand that no endpoint can serve is loaded first, then the requested loads whose goal can still
 * be met, by earliest goal, and then the others by response ratio. Memory is freed by evicting the
 * least valuable models, and is checked before each load. Not thread-safe: confined to one owner
 * thread.
 */
public final class OrderScheduler {
  /** Maximum age of the reported state; after an order, it is read only after this delay. */
  static final long REPORT_LAG_MS = 500;

  /** Delay before an order is retried that conflicted with another one. */
  static final long CONFLICT_PAUSE_MS = 60;

  /** Consecutive conflicts after which the number of accepted orders is read again. */
  private static final int CONFLICTS_BEFORE_REPORT = 4;

  /**
   * Duration of the eviction of an idle model, in ms: by the "order" log lines, engines reject
   * orders for up to 55 ms after they accepted an eviction.
   */
  static final long EVICTION_MS = 60;

  /** Failed attempts to confirm a load after which the state of the endpoint is read. */
  private static final int CONFIRMATIONS_BEFORE_REPORT = 3;

  private final ResidentModels residents = new ResidentModels();
  private final RequestedLoads requested = new RequestedLoads();
  private final DrainingModel drain = new DrainingModel();
  private Optional<ModelOrder> pendingOrder = Optional.empty();
  private final LoadInProgress load = new LoadInProgress();
  private boolean reportPending;
  private boolean stateKnown;
  private long orderCount;
  private long lastOrderMs = Long.MIN_VALUE / 2;
  private long notBeforeMs;
  private int consecutiveConflicts;

  /** The next action to take. */
  public sealed interface Step {
    /** Read the state of the endpoint. */
    record ReadState() implements Step {}

    /**
     * Send an order.
     *
     * @param order the order
     */
    record SendOrder(ModelOrder order) implements Step {}

    /**
     * Stop routing requests to a model that is to be evicted.
     *
     * @param model name of the model
     */
    record DrainModel(String model) implements Step {}
  }

  /**
   * Requests that a model, or an adapter of it, is loaded at this endpoint.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param goalMs time by which the callers should be served, in ms
   * @param now current time, in ms
   */
  public void requestLoad(String model, String adapter, long goalMs, long now) {
    requested.add(model, adapter, goalMs, now);
  }

  /**
   * Discards loads that were last requested before a given time.
   *
   * @param beforeMs the time, in ms
   */
  public void expireRequests(long beforeMs) {
    requested.expire(beforeMs);
  }

  /**
   * Returns the models that are queued for loading; those that must wait for the weight store delay
   * no other load.
   *
   * @param context inputs to the decision
   * @return load time of each model, in ms
   */
  public Map<String, Integer> queuedLoads(OrderContext context) {
    return requested.loadMsByModel(
        context, m -> !holds(m, "") && !load.model().equals(Optional.of(m)));
  }

  /** Invalidates the known state of the endpoint, so that the next step reads it again. */
  public void invalidateState() {
    stateKnown = false;
  }

  /**
   * Returns whether the endpoint holds a model, and an adapter if one is given, ready for requests.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @return whether it holds them
   */
  public boolean holds(String model, String adapter) {
    return residents.holds(model, adapter);
  }

  /**
   * Returns whether a model is being drained before its eviction.
   *
   * @param model name of the model
   * @return whether requests should go to other endpoints
   */
  public boolean draining(String model) {
    return drain.model().equals(Optional.of(model));
  }

  /**
   * Records a use of a model, which defers its eviction.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param now current time, in ms
   */
  public void recordUse(String model, String adapter, long now) {
    residents.recordUse(model, adapter, now);
  }

  /**
   * Returns whether the endpoint has held a model at any time, so that its disk has a copy.
   *
   * @param model name of the model
   * @return whether it has held the model
   */
  public boolean heldBefore(String model) {
    return residents.heldBefore(model);
  }

  public Optional<String> loading() {
    return load.model();
  }

  public int requestedLoadCount() {
    return requested.size();
  }

  /** Returns whether nothing is requested or in progress, so that there is no next step. */
  public boolean idle() {
    return requested.isEmpty() && load.model().or(drain::model).isEmpty() && pendingOrder.isEmpty();
  }

  /**
   * Determines the next step.
   *
   * @param context inputs to the decision
   * @param now current time, in ms
   * @return the step, or empty if there is none at this time
   */
  public Optional<Step> next(OrderContext context, long now) {
    if (reportPending || pendingOrder.isPresent() || now < notBeforeMs) {
      return Optional.empty();
    }
    if (!stateKnown) {
      if (requested.isEmpty() || now - lastOrderMs < REPORT_LAG_MS) {
        return Optional.empty();
      }
      reportPending = true;
      return Optional.of(new Step.ReadState());
    }
    if (load.mustBeConfirmed(now)) {
      if (consecutiveConflicts >= CONFIRMATIONS_BEFORE_REPORT) {
        reportPending = true;
        return Optional.of(new Step.ReadState());
      }
      return send(order(true, load.model().orElseThrow(), Optional.empty(), context), now);
    }
    if (load.model().isPresent()) {
      // While it loads a model, the engine rejects all orders, including those for adapters.
      return Optional.empty();
    }
    drain.expire(now);
    for (RequestedLoads.Request request : requested.byUrgency(m -> holds(m, ""), context, now)) {
      Optional<Step> step = stepFor(request, context, now);
      if (step.isPresent()) {
        return step;
      }
    }
    return Optional.empty();
  }

  /**
   * Handles the state reported by the endpoint.
   *
   * @param report the state, or empty if there was no response
   * @param now current time, in ms
   */
  public void onReport(Optional<EngineReport> report, long now) {
    reportPending = false;
    if (report.isEmpty()) {
      notBeforeMs = now + REPORT_LAG_MS;
      return;
    }
    if (load.model().isPresent() && report.get().busy()) {
      notBeforeMs = now + REPORT_LAG_MS / 2;
      load.confirmIn(REPORT_LAG_MS / 2, now);
      return;
    }
    orderCount = report.get().acceptedOrders();
    stateKnown = !report.get().busy();
    consecutiveConflicts = 0;
    load.end();
    if (!stateKnown) {
      notBeforeMs = now + REPORT_LAG_MS / 2;
    }
    residents.replace(report.get().models(), now);
  }

  /**
   * Handles the response to the last order.
   *
   * @param response the response
   * @param context inputs to the decision
   * @param now current time, in ms
   * @return the resulting changes to what the endpoint holds
   */
  public List<HoldingChange> onResponse(OrderResponse response, OrderContext context, long now) {
    ModelOrder order = pendingOrder.orElseThrow();
    pendingOrder = Optional.empty();
    lastOrderMs = now;
    switch (response) {
      case ACCEPTED -> {
        consecutiveConflicts = 0;
        if (load.isConfirmedBy(order)) {
          return load.continues(context, now);
        }
        orderCount++;
        return onAccepted(order, context, now);
      }
      case HOLDS -> {
        consecutiveConflicts = 0;
        return onAlreadyApplied(order, now);
      }
      case CONFLICT -> {
        onConflict(order, now);
        return List.of();
      }
      case FENCED, REJECTED, UNKNOWN -> {
        stateKnown = false;
        load.end();
        notBeforeMs = now + CONFLICT_PAUSE_MS;
        return List.of();
      }
      default -> throw new IllegalStateException("unexpected order response: " + response);
    }
  }

  private void onConflict(ModelOrder order, long now) {
    consecutiveConflicts++;
    if (load.isConfirmedBy(order)) {
      load.confirmIn(CONFLICT_PAUSE_MS, now);
    } else {
      notBeforeMs = now + CONFLICT_PAUSE_MS;
      stateKnown &= consecutiveConflicts < CONFLICTS_BEFORE_REPORT;
    }
  }

  private List<HoldingChange> onAccepted(ModelOrder order, OrderContext context, long now) {
    if (order.adapter().isPresent()) {
      return adapterChanged(order, now);
    }
    if (order.load()) {
      load.begin(order.model(), context.loadMs(order.model()), now);
      return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.LOADING));
    }
    modelEvicted(order.model());
    notBeforeMs = now + EVICTION_MS;
    return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.EVICTED));
  }

  private List<HoldingChange> onAlreadyApplied(ModelOrder order, long now) {
    if (order.adapter().isPresent()) {
      orderCount += order.load() ? 0 : 1;
      return adapterChanged(order, now);
    }
    if (!order.load()) {
      modelEvicted(order.model());
      return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.EVICTED));
    }
    load.end();
    residents.add(order.model(), now);
    requested.remove(order.model(), "");
    return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.LOADED));
  }

  private void modelEvicted(String model) {
    residents.remove(model);
    drain.evicted(model);
  }

  private List<HoldingChange> adapterChanged(ModelOrder order, long now) {
    String adapter = order.adapter().orElseThrow();
    if (order.load()) {
      residents.addAdapter(order.model(), adapter, now);
      requested.remove(order.model(), adapter);
      return List.of(new HoldingChange(order.model(), adapter, HoldingChange.Kind.LOADED));
    }
    residents.removeAdapter(order.model(), adapter);
    return List.of(new HoldingChange(order.model(), adapter, HoldingChange.Kind.EVICTED));
  }

  private Optional<Step> send(ModelOrder order, long now) {
    pendingOrder = Optional.of(order);
    lastOrderMs = now;
    return Optional.of(new Step.SendOrder(order));
  }

  private Optional<Step> stepFor(RequestedLoads.Request request, OrderContext context, long now) {
    if (!request.adapter().isEmpty() && holds(request.model(), request.adapter())) {
      requested.remove(request.model(), request.adapter());
      return Optional.empty();
    }
    if (holds(request.model(), "")) {
      if (request.adapter().isEmpty()) {
        requested.remove(request.model(), "");
        return Optional.empty();
      }
      return adapterOrder(request, context, now).flatMap(o -> send(o, now));
    }
    if (!context.replicaNeeded(request.model())) {
      requested.remove(request.model(), request.adapter());
      return Optional.empty();
    }
    return modelStep(request, context, now);
  }

  private Optional<ModelOrder> adapterOrder(
      RequestedLoads.Request request, OrderContext context, long now) {
    EngineInfo engine = context.engine();
    ModelInfo model = engine.models().get(request.model());
    boolean fits = model != null && usedMb(engine) + model.adapterMb() <= engine.weightMemoryMb();
    if (residents.adapterCount() < engine.maxAdapters() && fits) {
      return Optional.of(order(true, request.model(), Optional.of(request.adapter()), context));
    }
    return residents
        .leastRecentlyUsedAdapter(context, now)
        .map(a -> order(false, a.model(), Optional.of(a.adapter()), context));
  }

  private Optional<Step> modelStep(RequestedLoads.Request request, OrderContext context, long now) {
    EngineInfo engine = context.engine();
    ModelInfo model = engine.models().get(request.model());
    if (model == null || !context.mayLoad(request.model())) {
      return Optional.empty();
    }
    if (usedMb(engine) + model.weightsMb() <= engine.weightMemoryMb()) {
      return send(order(true, request.model(), Optional.empty(), context), now);
    }
    double maxValue = context.loadValue(request.model());
    boolean draining = drain.model().filter(m -> holds(m, "")).isPresent();
    Optional<String> victim =
        draining ? drain.evictable(context, now) : residents.victim(context, maxValue, now);
    if (victim.isPresent()) {
      return send(order(false, victim.get(), Optional.empty(), context), now);
    }
    if (draining) {
      return Optional.empty();
    }
    drain.begin(residents.surplusInUse(context, maxValue), now);
    return drain.model().map(Step.DrainModel::new);
  }

  private double usedMb(EngineInfo engine) {
    double loadingMb = load.model().map(engine.models()::get).map(ModelInfo::weightsMb).orElse(0.0);
    return residents.usedMb(engine) + loadingMb;
  }

  private ModelOrder order(
      boolean load, String model, Optional<String> adapter, OrderContext context) {
    return new ModelOrder(load, model, adapter, context.fencingNumber(), orderCount);
  }
}
