package io.kumquatspindle.node.order;

import io.kumquatspindle.engine.fleet.ActiveLoads;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.Home;
import io.kumquatspindle.engine.fleet.OrderScheduler;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.Peers;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Applies what holders tell of their endpoints, and keeps the loads in progress up to date. */
public final class LoadTracker {
  /**
   * Time for which a load at an endpoint that this VM holds counts after its last confirmation, in
   * ms; longer than the interval of the confirmations.
   */
  private static final long OWN_LOAD_VALID_MS = 1_000;

  private final NodeContext node;
  private final Peers peers;
  private final ActiveLoads loads;
  private final Set<String> fetchedModels = new HashSet<>();
  private Runnable loadedListener = () -> {};

  LoadTracker(NodeContext node, Peers peers) {
    this.node = node;
    this.peers = peers;
    this.loads = node.activeLoads();
  }

  /**
   * Handles that a peer reports the loads in progress at the endpoints that it holds.
   *
   * @param reports the loads
   */
  public void onPeerReports(List<ActiveLoads.Report> reports) {
    long now = node.now();
    reports.stream()
        .filter(r -> node.endpoints().contains(r.endpoint()))
        .forEach(r -> loads.confirmed(r, peers.peerTimeoutMs(), now));
  }

  /** Confirms the loads at the endpoints that this VM holds, and discards unconfirmed ones. */
  void confirm(Map<String, OrderScheduler> ordersByEndpoint) {
    long now = node.now();
    loads.retain(node.endpoints()::contains, now);
    ordersByEndpoint.forEach(
        (id, orders) ->
            orders
                .loading()
                .filter(m -> mayBeConfirmed(id))
                .ifPresent(m -> loads.confirmedByOwner(id, OWN_LOAD_VALID_MS, now)));
    loads.expire(now).forEach(l -> log("load_unconfirmed", l));
  }

  /**
   * Returns whether orders that confirm a load can be sent. A load at an evacuated endpoint must
   * not take up a place at the weight store until the evacuation ends.
   */
  private boolean mayBeConfirmed(String endpoint) {
    return node.endpoints().find(endpoint).filter(node.endpoints()::acceptsWork).isPresent();
  }

  /** Sets the listener that is called when an endpoint holds a further model or adapter. */
  void setLoadedListener(Runnable listener) {
    loadedListener = listener;
  }

  /** Returns the models whose load has begun at any endpoint. */
  Set<String> fetchedModels() {
    return fetchedModels;
  }

  /**
   * Applies a change that the holder of an endpoint has made there.
   *
   * @param endpoint the endpoint
   * @param c the change
   * @param own whether this VM is the holder, which logs the change
   */
  void apply(Endpoint endpoint, NodeMessage.Changed c, boolean own) {
    long now = node.now();
    switch (c.kind()) {
      case LOADING -> {
        fetchedModels.add(c.model());
        loads.started(endpoint.id(), c.model(), c.fromStore(), c.forMs(), now);
        if (own && c.fromStore()) {
          logStoreLoad(endpoint, c.model(), now);
        }
      }
      case LOADED -> {
        if (c.adapter().isEmpty()) {
          loads.ended(endpoint.id(), now).filter(l -> own).ifPresent(l -> log("load_ended", l));
        }
        endpoint.updateHolding(c.model(), c.adapter(), true, now);
        loadedListener.run();
      }
      case EVICTED -> {
        endpoint.updateHolding(c.model(), c.adapter(), false, now);
        node.promptCacheIndex().recordEviction(endpoint, c.model(), c.adapter(), now);
      }
      default -> throw new IllegalStateException("unknown kind of change: " + c.kind());
    }
  }

  /** Returns whether a model is being loaded at an endpoint that accepts requests. */
  boolean isLoading(String service, String model, Home home) {
    return loads.endpointsLoading(model, Long.MAX_VALUE, node.now()).stream()
        .anyMatch(id -> acceptsRequests(id, service, home));
  }

  private boolean acceptsRequests(String endpoint, String service, Home home) {
    return node.endpoints()
        .find(endpoint)
        .filter(e -> e.entry().service().equals(service) && node.endpoints().acceptsWork(e))
        .filter(home::allows)
        .isPresent();
  }

  private void logStoreLoad(Endpoint endpoint, String model, long now) {
    node.log()
        .line("store_load_begun")
        .field("endpoint", endpoint.id())
        .field("model", model)
        .field("replicas", node.endpoints().holders(endpoint.entry().service(), model, now).size())
        .field("loading", loads.endpointsLoading(model, Long.MAX_VALUE, now).size())
        .field("per_s", String.format(Locale.ROOT, "%.3f", node.demand().rate(model, now)))
        .field("store_loads", loads.storeLoadCount(now))
        .field("store_limit", loads.storeLoadLimit())
        .write();
  }

  private void log(String event, ActiveLoads.Report load) {
    node.log()
        .line(event)
        .field("endpoint", load.endpoint())
        .field("model", load.model())
        .field("from_store", String.valueOf(load.fromStore()))
        .field("took_ms", load.elapsedMs())
        .field("expected_ms", load.expectedMs())
        .field("store_loads", loads.storeLoadCount(node.now()))
        .field("store_limit", loads.storeLoadLimit())
        .write();
  }
}
