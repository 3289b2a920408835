package io.kumquatspindle.node.order;

import com.codahale.metrics.Counter;
import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.OrderResponse;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.HoldingChange;
import io.kumquatspindle.engine.fleet.Home;
import io.kumquatspindle.engine.fleet.OrderContext;
import io.kumquatspindle.engine.fleet.OrderScheduler;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.engine.fleet.ReplicaPolicy;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.PeerTransport;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.port.EngineClient;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Sends orders to the endpoints this VM holds; forwards load requests for other endpoints. */
public final class OrderController implements ModelLoader {
  /** Age after which a load request expires unless it is repeated, in ms. */
  static final long LOAD_REQUEST_TTL_MS = 3_000;

  /** Interval for dropping endpoints gone or held elsewhere, in ms; as the group tick's. */
  private static final long CLEANUP_INTERVAL_MS = 100;

  /** Goal of a load that no caller waits for, in ms from now; longer than the goals of callers. */
  private static final long GOAL_MS = 10_000;

  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final Peers peers;
  private final PeerTransport transport;
  private final EngineClient engines;
  private final LoadRequestSender requests;
  private final LoadTracker loads;
  private final ReplicaPolicy replicaPolicy;
  private final PlacementChooser chooser;
  private final StoreLoadCoordinator storeLoads;
  private final ReplicaScaler scaler;
  private final Map<String, OrderScheduler> ordersByEndpoint = new HashMap<>();
  private final Map<String, Long> startTimes = new HashMap<>();
  private final Counter ordersSent;
  private Runnable workListener = () -> {};
  private long lastCleanupMs;

  /**
   * Creates the controller.
   *
   * @param node shared context
   * @param ownership the endpoints that each VM holds
   * @param peers the other VMs
   * @param transport connections to the other VMs
   * @param engines calls to engines
   */
  public OrderController(
      NodeContext node,
      PartitionOwnership ownership,
      Peers peers,
      PeerTransport transport,
      EngineClient engines) {
    this.node = node;
    this.ownership = ownership;
    this.peers = peers;
    this.transport = transport;
    this.engines = engines;
    this.requests = new LoadRequestSender(node, ownership, peers, transport);
    this.loads = new LoadTracker(node, peers);
    this.replicaPolicy = new ReplicaPolicy(node.endpoints(), node.demand(), node.activeLoads());
    this.chooser =
        new PlacementChooser(
            node.endpoints(),
            replicaPolicy,
            node.activeLoads(),
            node.loadQueues(),
            node.activeRequests(),
            node.endpointSpeeds());
    this.storeLoads =
        new StoreLoadCoordinator(
            node,
            ownership,
            peers,
            transport.self(),
            replicaPolicy,
            chooser,
            loads::fetchedModels,
            (e, model) -> requestLoadAt(e, model, true));
    this.scaler =
        new ReplicaScaler(
            node, ownership, replicaPolicy, chooser, (e, m) -> requestLoadAt(e, m, false));
    this.ordersSent = node.metrics().counter("orders_total");
  }

  /**
   * Sets the listener that is called when an endpoint has finished loading a model or an adapter.
   *
   * @param listener the listener, called on the event loop
   */
  public void setChangeListener(Runnable listener) {
    loads.setLoadedListener(listener);
  }

  /**
   * Returns the loads in progress, which peers report in their digests.
   *
   * @return the tracker of this VM
   */
  public LoadTracker loads() {
    return loads;
  }

  /**
   * Sets the listener that is called when a load has been requested, so that {@link #tick} has
   * work.
   *
   * @param listener the listener, called on the event loop
   */
  public void setWorkListener(Runnable listener) {
    workListener = listener;
  }

  /**
   * Returns whether {@link #tick} has work.
   *
   * @return whether loads are requested or in progress at endpoints that this VM holds
   */
  public boolean hasWork() {
    return ordersByEndpoint.values().stream().anyMatch(orders -> !orders.idle());
  }

  @Override
  public void requestLoad(
      String service,
      String model,
      String adapter,
      Home home,
      long goalMs,
      Map<String, Integer> attempts) {
    Optional<EngineInfo> engine = engine(service);
    if (engine.isEmpty()) {
      return;
    }
    long now = node.now();
    String domain = home.loadDomain(node.settings().domain());
    Set<String> excluded = home.excludedIds(node.endpoints().available(service));
    node.taskTimer()
        .run(
            "choose",
            () ->
                chooser
                    .choose(service, engine.get(), model, adapter, domain, excluded, now)
                    .filter(e -> requests.send(e, model, adapter, home, goalMs, attempts))
                    .ifPresent(e -> onLoadRequest(e.id(), model, adapter, goalMs)));
  }

  @Override
  public long readyInMs(String service, String model, String adapter, Home home) {
    ModelInfo info = engine(service).map(e -> e.models().get(model)).orElse(null);
    return info == null ? 0 : chooser.readyInMs(service, info, adapter, home, node.now());
  }

  @Override
  public boolean isLoading(String service, String model, Home home) {
    return loads.isLoading(service, model, home);
  }

  /**
   * Handles a load request for an endpoint; ignored if this VM does not hold the endpoint.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param goalMs time by which the first caller should be served, in ms
   */
  public void onLoadRequest(String endpoint, String model, String adapter, long goalMs) {
    Optional<Endpoint> e = node.endpoints().find(endpoint);
    if (e.isPresent() && ownership.holds(endpoint, e.get().entry().domain())) {
      OrderScheduler orders = ordersOf(e.get());
      if (orders.holds(model, adapter) && !orders.draining(model)) {
        publishChange(e.get(), new HoldingChange(model, adapter, HoldingChange.Kind.LOADED));
        return;
      }
      if (!ownership.mayOrder(endpoint)) {
        node.log()
            .line("want_held_back")
            .field("endpoint", endpoint)
            .field("model", model)
            .field("fence", ownership.fencingNumber())
            .write();
      }
      if (!adapter.isEmpty() && !orders.holds(model, "")) {
        orders.requestLoad(model, "", goalMs, node.now());
      }
      orders.requestLoad(model, adapter, goalMs, node.now());
      workListener.run();
      runNextStep(e.get(), orders);
    }
  }

  /**
   * Applies a change that another VM made at an endpoint that it holds.
   *
   * @param c the change
   */
  public void onPeerChange(NodeMessage.Changed c) {
    node.endpoints().find(c.endpoint()).ifPresent(e -> loads.apply(e, c, false));
  }

  @Override
  public void recordUse(Endpoint endpoint, String model, String adapter) {
    OrderScheduler orders = ordersByEndpoint.get(endpoint.id());
    if (orders != null) {
      orders.recordUse(model, adapter, node.now());
    }
  }

  /** Sends the next orders for pending load requests; called several times a second. */
  public void tick() {
    long now = node.now();
    if (now - lastCleanupMs >= CLEANUP_INTERVAL_MS) {
      lastCleanupMs = now;
      ordersByEndpoint.keySet().removeIf(id -> noLongerOwned(id));
      startTimes.keySet().removeIf(id -> !node.endpoints().contains(id));
      loads.confirm(ordersByEndpoint);
    }
    for (Map.Entry<String, OrderScheduler> entry : List.copyOf(ordersByEndpoint.entrySet())) {
      if (!entry.getValue().idle()) {
        entry.getValue().expireRequests(now - LOAD_REQUEST_TTL_MS);
        node.endpoints().find(entry.getKey()).ifPresent(e -> runNextStep(e, entry.getValue()));
      }
    }
    publishQueuedLoads();
  }

  private void publishQueuedLoads() {
    node.loadQueues().retain(ordersByEndpoint::containsKey);
    for (Map.Entry<String, OrderScheduler> entry : ordersByEndpoint.entrySet()) {
      Optional<Endpoint> e = node.endpoints().find(entry.getKey());
      Optional<EngineInfo> engine = e.flatMap(x -> engine(x.entry().service()));
      Map<String, Integer> queued =
          engine.isEmpty() || entry.getValue().requestedLoadCount() == 0
              ? Map.of()
              : entry.getValue().queuedLoads(context(e.get(), entry.getValue(), engine.get()));
      node.loadQueues().updateOwnQueue(entry.getKey(), queued);
    }
  }

  private OrderContext context(Endpoint e, OrderScheduler orders, EngineInfo engine) {
    return new EndpointContext(node, ownership, replicaPolicy, storeLoads, e, orders, engine);
  }

  /**
   * Requests further replicas of models whose demand exceeds their replicas; called periodically.
   */
  public void scaleReplicas() {
    scaler.tick();
  }

  /** Requests a load that no caller waits for. */
  private void requestLoadAt(Endpoint e, String model, boolean assigned) {
    String endpointDomain = e.entry().domain();
    long goalMs = node.now() + GOAL_MS;
    if (!ownership.holds(e.id(), endpointDomain)) {
      NodeMessage.Want want = new NodeMessage.Want(e.id(), model, "", GOAL_MS, assigned);
      ownership.holder(e.id(), endpointDomain).ifPresent(holder -> transport.send(holder, want));
    } else if (assigned) {
      onStoreLoadAssigned(e.id(), model, goalMs);
    } else {
      onLoadRequest(e.id(), model, "", goalMs);
    }
  }

  /** Assigns loads from the weight store if this VM coordinates them; called periodically. */
  public void assignStoreLoads() {
    storeLoads.tick();
  }

  /**
   * Handles that the coordinator has assigned a load from the weight store to an endpoint; ignored
   * if this VM does not hold the endpoint.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param goalMs time by which the model should be loaded, in ms
   */
  public void onStoreLoadAssigned(String endpoint, String model, long goalMs) {
    storeLoads.onAssigned(endpoint, model);
    onLoadRequest(endpoint, model, "", goalMs);
  }

  private boolean noLongerOwned(String id) {
    Optional<Endpoint> e = node.endpoints().find(id);
    return e.isEmpty() || !ownership.holds(id, e.get().entry().domain());
  }

  private OrderScheduler ordersOf(Endpoint e) {
    Long previousStart = startTimes.put(e.id(), e.entry().startedAtMs());
    if (previousStart != null && previousStart != e.entry().startedAtMs()) {
      ordersByEndpoint.remove(e.id());
    }
    return ordersByEndpoint.computeIfAbsent(e.id(), id -> new OrderScheduler());
  }

  private void runNextStep(Endpoint e, OrderScheduler orders) {
    if (!ownership.mayOrder(e.id()) || !node.endpoints().acceptsWork(e)) {
      return;
    }
    Optional<EngineInfo> engine = engine(e.entry().service());
    if (engine.isEmpty()) {
      return;
    }
    OrderContext context = context(e, orders, engine.get());
    Optional<OrderScheduler.Step> step = orders.next(context, node.now());
    if (step.isEmpty()) {
      return;
    }
    if (step.get() instanceof OrderScheduler.Step.SendOrder s) {
      ordersSent.inc();
      node.endpointLimits().charge(e, node.now());
      engines.order(e.entry(), s.order(), a -> onResponse(e, orders, context, s, a));
    } else if (step.get() instanceof OrderScheduler.Step.DrainModel r) {
      node.log().line("retire").field("endpoint", e.id()).field("model", r.model()).write();
      publishChange(e, new HoldingChange(r.model(), "", HoldingChange.Kind.EVICTED));
    } else {
      node.endpointLimits().charge(e, node.now());
      engines.report(
          e.entry(),
          r -> {
            node.log()
                .line("report")
                .field("endpoint", e.id())
                .field("orders", r.map(x -> x.acceptedOrders()).orElse(-1L))
                .field("models", r.map(x -> x.models().toString()).orElse(""))
                .write();
            orders.onReport(r, node.now());
            runNextStep(e, orders);
          });
    }
  }

  private void onResponse(
      Endpoint e,
      OrderScheduler orders,
      OrderContext ctx,
      OrderScheduler.Step.SendOrder s,
      OrderResponse response) {
    node.log()
        .line("order")
        .field("endpoint", e.id())
        .field("op", s.order().load() ? "load" : "evict")
        .field("model", s.order().model())
        .field("adapter", s.order().adapter().orElse(""))
        .field("fence", s.order().fencingNumber())
        .field("expected_orders", s.order().expectedOrders())
        .field("answer", response.name().toLowerCase(java.util.Locale.ROOT))
        .write();
    if (response == OrderResponse.FENCED) {
      ownership.onFenced(e.id());
    }
    orders.onResponse(response, ctx, node.now()).forEach(c -> publishChange(e, c));
    runNextStep(e, orders);
  }

  private void publishChange(Endpoint e, HoldingChange c) {
    Optional<ModelInfo> model =
        engine(e.entry().service()).flatMap(x -> Optional.ofNullable(x.models().get(c.model())));
    NodeMessage.Changed m = ChangeMessages.of(e, c, model, ordersOf(e).heldBefore(c.model()));
    loads.apply(e, m, true);
    peers.broadcast(m);
  }

  private Optional<EngineInfo> engine(String service) {
    return node.configuration().flatMap(c -> c.service(service)).flatMap(s -> s.engine());
  }
}
