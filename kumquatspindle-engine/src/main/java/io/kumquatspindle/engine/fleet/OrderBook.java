package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.EngineReport;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ModelOrder;
import io.kumquatspindle.api.fleet.OrderResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Orders of one endpoint, as its only holder gives them: one at a time, each guarded by the count
 * of orders that the endpoint must have accepted, so that an order that is carried out late changes
 * nothing. Answers bursts of rare models at one endpoint: a model that many callers miss goes
 * first, then wants whose goal can still be met, the earliest goal first, then the others by age.
 * Room is made by evicting what is least wanted, and memory is counted before each load. One owner
 * thread.
 */
public final class OrderBook {
  /** Age of the state that an engine reports, at most; after an order it is asked later. */
  static final long REPORT_LAG_MS = 500;

  /** Pause before an order that met another one is sent again. */
  static final long CONFLICT_PAUSE_MS = 60;

  /** Conflicts in a row after which the count of orders is read anew. */
  private static final int CONFLICTS_BEFORE_REPORT = 4;

  /** Time that an eviction of an idle model takes, in ms. */
  private static final long EVICTION_MS = 20;

  /** Refused confirmations of one load after which the endpoint is asked for its state. */
  private static final int CONFIRMS_BEFORE_REPORT = 3;

  private final Residents residents = new Residents();
  private final Wants wants = new Wants();
  private final Retirement retirement = new Retirement();
  private Optional<ModelOrder> unanswered = Optional.empty();
  private Optional<String> loading = Optional.empty();
  private boolean reporting;
  private boolean synced;
  private long orders;
  private long lastOrderMs = Long.MIN_VALUE / 2;
  private long notBeforeMs;
  private long confirmAtMs;
  private int conflicts;

  /** What to do next. */
  public sealed interface Step {
    /** Ask the endpoint for its state. */
    record Report() implements Step {}

    /**
     * Send an order.
     *
     * @param order the order
     */
    record Send(ModelOrder order) implements Step {}

    /**
     * Keep requests away from a model that shall be evicted.
     *
     * @param model name of the model
     */
    record Retire(String model) implements Step {}
  }

  /**
   * Notes that a model, or an adapter of it, is wanted at this endpoint.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param goalMs when the callers should be served, in ms
   * @param now present time, in ms
   */
  public void want(String model, String adapter, long goalMs, long now) {
    wants.add(model, adapter, goalMs, now);
  }

  /**
   * Forgets what was wanted last before a time.
   *
   * @param beforeMs the time, in ms
   */
  public void forgetWantsBefore(long beforeMs) {
    wants.forgetBefore(beforeMs);
  }

  /**
   * Returns the models that wait to be loaded.
   *
   * @param context what the decision needs beside the state of this book
   * @return time to load each, in ms
   */
  public Map<String, Integer> queued(OrderContext context) {
    Map<String, Integer> queued = new HashMap<>();
    for (String m : wants.models()) {
      boolean known = context.engine().models().containsKey(m);
      if (known && !holds(m, "") && !loading.equals(Optional.of(m))) {
        queued.put(m, (int) context.loadMs(m));
      }
    }
    return queued;
  }

  /** Forgets the count of orders; the next step reads it anew. */
  public void unsync() {
    synced = false;
  }

  /**
   * Tells whether the endpoint holds a model, and an adapter if one is named, ready for requests.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @return whether it does
   */
  public boolean holds(String model, String adapter) {
    return residents.holds(model, adapter);
  }

  /**
   * Tells whether requests are kept from a model because it shall be evicted.
   *
   * @param model name of the model
   * @return whether it is about to go
   */
  public boolean retiring(String model) {
    return retirement.model().equals(Optional.of(model));
  }

  /**
   * Notes a use, so that what is used is evicted last.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param now present time, in ms
   */
  public void used(String model, String adapter, long now) {
    residents.used(model, adapter, now);
  }

  /**
   * Tells whether the endpoint has held a model before, so that its disk has a copy.
   *
   * @param model name of the model
   * @return whether it has
   */
  public boolean heldBefore(String model) {
    return residents.heldBefore(model);
  }

  public Optional<String> loading() {
    return loading;
  }

  public int wantCount() {
    return wants.size();
  }

  /** Returns whether nothing is wanted and nothing in progress, so that there is no next step. */
  public boolean quiet() {
    return wants.isEmpty() && loading.or(retirement::model).isEmpty() && unanswered.isEmpty();
  }

  /**
   * Decides the next step.
   *
   * @param context what the decision needs beside the state of this book
   * @param now present time, in ms
   * @return the step, or empty if there is nothing to do now
   */
  public Optional<Step> next(OrderContext context, long now) {
    if (reporting || unanswered.isPresent() || now < notBeforeMs) {
      return Optional.empty();
    }
    if (!synced) {
      if (wants.isEmpty() || now - lastOrderMs < REPORT_LAG_MS) {
        return Optional.empty();
      }
      reporting = true;
      return Optional.of(new Step.Report());
    }
    if (loading.isPresent() && now >= confirmAtMs) {
      if (conflicts >= CONFIRMS_BEFORE_REPORT) {
        reporting = true;
        return Optional.of(new Step.Report());
      }
      return send(
          new ModelOrder(true, loading.get(), Optional.empty(), context.fence(), orders), now);
    }
    if (loading.isPresent()) {
      // The engine refuses all orders, also those for adapters, while it loads a model.
      return Optional.empty();
    }
    retirement.expire(now);
    for (Wants.Want w : wants.byUrgency(m -> holds(m, ""), context, now)) {
      Optional<Step> step = stepFor(w, context, now);
      if (step.isPresent()) {
        return step;
      }
    }
    return Optional.empty();
  }

  /**
   * Takes the state that the endpoint reports.
   *
   * @param report the state, or empty if there was no answer
   * @param now present time, in ms
   */
  public void onReport(Optional<EngineReport> report, long now) {
    reporting = false;
    if (report.isEmpty()) {
      notBeforeMs = now + REPORT_LAG_MS;
      return;
    }
    if (loading.isPresent() && report.get().busy()) {
      confirmAtMs = now + REPORT_LAG_MS / 2;
      notBeforeMs = confirmAtMs;
      return;
    }
    orders = report.get().acceptedOrders();
    synced = !report.get().busy();
    conflicts = 0;
    loading = Optional.empty();
    if (!synced) {
      notBeforeMs = now + REPORT_LAG_MS / 2;
    }
    residents.replace(report.get().models(), now);
  }

  /**
   * Takes the answer to the order sent last.
   *
   * @param answer the answer
   * @param context what the decision needs beside the state of this book
   * @param now present time, in ms
   * @return what the endpoint holds, or no longer holds, since this answer
   */
  public List<HoldingChange> onAnswer(OrderResponse answer, OrderContext context, long now) {
    ModelOrder order = unanswered.orElseThrow();
    unanswered = Optional.empty();
    lastOrderMs = now;
    switch (answer) {
      case ACCEPTED -> {
        conflicts = 0;
        orders++;
        return accepted(order, context, now);
      }
      case HOLDS -> {
        conflicts = 0;
        return holdsAlready(order, now);
      }
      case CONFLICT -> {
        onConflict(order, now);
        return List.of();
      }
      case FENCED, REJECTED, UNKNOWN -> {
        synced = false;
        loading = Optional.empty();
        notBeforeMs = now + CONFLICT_PAUSE_MS;
        return List.of();
      }
      default -> throw new IllegalStateException("no such answer: " + answer);
    }
  }

  private void onConflict(ModelOrder order, long now) {
    conflicts++;
    if (order.load() && loading.equals(Optional.of(order.model()))) {
      confirmAtMs = now + CONFLICT_PAUSE_MS;
      return;
    }
    notBeforeMs = now + CONFLICT_PAUSE_MS;
    if (conflicts >= CONFLICTS_BEFORE_REPORT) {
      synced = false;
    }
  }

  private List<HoldingChange> accepted(ModelOrder order, OrderContext context, long now) {
    if (order.adapter().isPresent()) {
      return adapterChanged(order, now);
    }
    if (order.load()) {
      loading = Optional.of(order.model());
      confirmAtMs = now + context.loadMs(order.model());
      return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.LOADING));
    }
    evicted(order.model());
    notBeforeMs = now + EVICTION_MS;
    return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.EVICTED));
  }

  private List<HoldingChange> holdsAlready(ModelOrder order, long now) {
    if (order.adapter().isPresent()) {
      orders += order.load() ? 0 : 1;
      return adapterChanged(order, now);
    }
    if (!order.load()) {
      evicted(order.model());
      return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.EVICTED));
    }
    loading = Optional.empty();
    residents.add(order.model(), now);
    wants.remove(order.model(), "");
    return List.of(new HoldingChange(order.model(), "", HoldingChange.Kind.LOADED));
  }

  private void evicted(String model) {
    residents.remove(model);
    retirement.evicted(model);
  }

  private List<HoldingChange> adapterChanged(ModelOrder order, long now) {
    String adapter = order.adapter().orElseThrow();
    if (order.load()) {
      residents.addAdapter(order.model(), adapter, now);
      wants.remove(order.model(), adapter);
      return List.of(new HoldingChange(order.model(), adapter, HoldingChange.Kind.LOADED));
    }
    residents.removeAdapter(order.model(), adapter);
    return List.of(new HoldingChange(order.model(), adapter, HoldingChange.Kind.EVICTED));
  }

  private Optional<Step> send(ModelOrder order, long now) {
    unanswered = Optional.of(order);
    lastOrderMs = now;
    return Optional.of(new Step.Send(order));
  }

  private Optional<Step> stepFor(Wants.Want w, OrderContext context, long now) {
    if (!w.adapter().isEmpty() && holds(w.model(), w.adapter())) {
      wants.remove(w.model(), w.adapter());
      return Optional.empty();
    }
    if (holds(w.model(), "")) {
      if (w.adapter().isEmpty()) {
        wants.remove(w.model(), "");
        return Optional.empty();
      }
      return adapterOrder(w, context, now).flatMap(o -> send(o, now));
    }
    if (!context.needed(w.model())) {
      wants.remove(w.model(), w.adapter());
      return Optional.empty();
    }
    return modelStep(w, context, now);
  }

  private Optional<ModelOrder> adapterOrder(Wants.Want w, OrderContext context, long now) {
    EngineInfo engine = context.engine();
    ModelInfo model = engine.models().get(w.model());
    boolean fits = model != null && usedMb(engine) + model.adapterMb() <= engine.weightMemoryMb();
    if (residents.adapters() < engine.maxAdapters() && fits) {
      return Optional.of(order(true, w.model(), Optional.of(w.adapter()), context));
    }
    return residents
        .oldestAdapter(context, now)
        .map(a -> order(false, a.model(), Optional.of(a.adapter()), context));
  }

  private Optional<Step> modelStep(Wants.Want w, OrderContext context, long now) {
    EngineInfo engine = context.engine();
    ModelInfo model = engine.models().get(w.model());
    if (model == null || !context.mayLoad(w.model())) {
      return Optional.empty();
    }
    if (usedMb(engine) + model.weightsMb() <= engine.weightMemoryMb()) {
      return send(order(true, w.model(), Optional.empty(), context), now);
    }
    double limit = context.value(w.model());
    boolean retiring = retirement.model().filter(m -> holds(m, "")).isPresent();
    Optional<String> victim =
        retiring ? retirement.due(context, now) : residents.victim(context, limit, now);
    if (victim.isPresent()) {
      return send(order(false, victim.get(), Optional.empty(), context), now);
    }
    if (retiring) {
      return Optional.empty();
    }
    retirement.begin(residents.busySpare(context, limit), now);
    return retirement.model().map(Step.Retire::new);
  }

  private double usedMb(EngineInfo engine) {
    ModelInfo coming = loading.map(engine.models()::get).orElse(null);
    return residents.usedMb(engine) + (coming == null ? 0 : coming.weightsMb());
  }

  private ModelOrder order(
      boolean load, String model, Optional<String> adapter, OrderContext context) {
    return new ModelOrder(load, model, adapter, context.fence(), orders);
  }
}
