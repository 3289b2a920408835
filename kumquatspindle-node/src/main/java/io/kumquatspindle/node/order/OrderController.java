package io.kumquatspindle.node.order;

import com.codahale.metrics.Counter;
import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.OrderResponse;
import io.kumquatspindle.engine.fleet.CopyPolicy;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.HoldingChange;
import io.kumquatspindle.engine.fleet.LoadBoard;
import io.kumquatspindle.engine.fleet.OrderBook;
import io.kumquatspindle.engine.fleet.OrderContext;
import io.kumquatspindle.engine.fleet.PlacementChooser;
import io.kumquatspindle.engine.fleet.Prefetch;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.peer.PeerLinks;
import io.kumquatspindle.node.peer.PeerMessage;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.port.EngineCalls;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Gives orders to the endpoints that this VM holds, and tells other VMs what is wanted there. */
public final class OrderController implements ModelSource {
  /** Age after which a want is forgotten unless it is told again, in ms. */
  private static final long WANT_VALID_MS = 3_000;

  /** Time between looks for endpoints that are gone or another VM's, in ms; as for the group. */
  private static final long CLEAN_MS = 100;

  private final NodeContext node;
  private final Owners owners;
  private final Peers peers;
  private final PeerLinks network;
  private final EngineCalls engines;
  private final LoadBoard loads = new LoadBoard();
  private final CopyPolicy copies;
  private final PlacementChooser chooser;
  private final Prefetch prefetch;
  private final Spread spread;
  private final Set<String> fetched = new HashSet<>();
  private final Map<String, OrderBook> books = new HashMap<>();
  private final Map<String, Long> born = new HashMap<>();
  private final Counter sent;
  private Runnable changed = () -> {};
  private long cleanedMs;

  /**
   * Creates the controller.
   *
   * @param node shared context
   * @param owners who orders which endpoints
   * @param peers the other VMs
   * @param network connections to them
   * @param engines calls to engines
   */
  public OrderController(
      NodeContext node, Owners owners, Peers peers, PeerLinks network, EngineCalls engines) {
    this.node = node;
    this.owners = owners;
    this.peers = peers;
    this.network = network;
    this.engines = engines;
    this.copies = new CopyPolicy(node.endpoints(), node.demand(), loads);
    this.chooser =
        new PlacementChooser(node.endpoints(), copies, loads, node.queues(), node.running());
    this.prefetch = new Prefetch(node.endpoints(), node.demand(), loads);
    this.spread = new Spread(node, owners, copies, chooser, this::wantAt);
    this.sent = node.metrics().counter("orders_total");
  }

  /**
   * Sets what is called when an endpoint holds something new.
   *
   * @param listener called on the event loop
   */
  public void onChange(Runnable listener) {
    changed = listener;
  }

  @Override
  public void want(
      String service, String model, String adapter, long goalMs, Map<String, Integer> asked) {
    Optional<EngineInfo> engine = engine(service);
    if (engine.isEmpty()) {
      return;
    }
    long now = node.now();
    String domain = node.settings().domain();
    node.duties()
        .run(
            "choose",
            () ->
                chooser
                    .choose(service, engine.get(), model, adapter, domain, Set.of(), now)
                    .ifPresent(e -> want(e, model, adapter, goalMs, asked)));
  }

  private void want(
      Endpoint e, String model, String adapter, long goalMs, Map<String, Integer> asked) {
    long now = node.now();
    int times = asked.merge(e.id(), 1, Integer::sum);
    String its = e.entry().domain();
    boolean own = owners.holds(e.id(), its);
    Optional<String> holder = own ? Optional.of(network.self()) : owners.holder(e.id(), its);
    node.log()
        .line("want")
        .field("endpoint", e.id())
        .field("model", model)
        .field("adapter", adapter)
        .field("holder", holder.orElse(""))
        .field("backlog_ms", node.queues().backlogMs(e.id(), now))
        .write();
    if (own) {
      onWant(e.id(), model, adapter, goalMs);
      return;
    }
    PeerMessage.Want want = new PeerMessage.Want(e.id(), model, adapter, goalMs - now);
    if (times == 1 && holder.isPresent()) {
      network.send(holder.get(), want);
    } else {
      network.send(peers.inDomain(its), want);
    }
  }

  @Override
  public long readyInMs(String service, String model) {
    ModelInfo info = engine(service).map(e -> e.models().get(model)).orElse(null);
    int atOnce = node.settings().storeLoadsAtOnce();
    return info == null ? 0 : chooser.readyInMs(service, info, atOnce, node.now());
  }

  @Override
  public boolean loading(String service, String model) {
    long now = node.now();
    return loads.loading(model, Long.MAX_VALUE, now).stream()
        .anyMatch(id -> takesWork(id, service));
  }

  private boolean takesWork(String endpoint, String service) {
    return node.endpoints()
        .find(endpoint)
        .filter(e -> e.entry().service().equals(service) && !e.entry().leaving())
        .isPresent();
  }

  /**
   * Takes a want at an endpoint.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param goalMs when the first caller should be served, in ms
   */
  public void onWant(String endpoint, String model, String adapter, long goalMs) {
    Optional<Endpoint> e = node.endpoints().find(endpoint);
    if (e.isPresent() && owners.holds(endpoint, e.get().entry().domain())) {
      OrderBook book = book(e.get());
      if (book.holds(model, adapter) && !book.retiring(model)) {
        tell(e.get(), new HoldingChange(model, adapter, HoldingChange.Kind.LOADED));
        return;
      }
      if (!owners.mayOrder(endpoint)) {
        node.log()
            .line("want_held_back")
            .field("endpoint", endpoint)
            .field("model", model)
            .field("fence", owners.fence())
            .write();
      }
      if (!adapter.isEmpty() && !book.holds(model, "")) {
        book.want(model, "", goalMs, node.now());
      }
      book.want(model, adapter, goalMs, node.now());
      step(e.get(), book);
    }
  }

  /**
   * Takes a change that another VM made at an endpoint.
   *
   * @param c the change
   */
  public void onChanged(PeerMessage.Changed c) {
    long now = node.now();
    node.endpoints()
        .find(c.endpoint())
        .ifPresent(e -> apply(e, c.model(), c.adapter(), c.kind(), c.fromStore(), c.forMs(), now));
  }

  @Override
  public void used(Endpoint endpoint, String model, String adapter) {
    OrderBook book = books.get(endpoint.id());
    if (book != null) {
      book.used(model, adapter, node.now());
    }
  }

  /** Called several times a second: goes on with what is wanted. */
  public void tick() {
    long now = node.now();
    if (now - cleanedMs >= CLEAN_MS) {
      cleanedMs = now;
      books.keySet().removeIf(id -> forgotten(id));
      loads.retain(node.endpoints()::knows);
    }
    for (Map.Entry<String, OrderBook> b : List.copyOf(books.entrySet())) {
      if (!b.getValue().quiet()) {
        b.getValue().forgetWantsBefore(now - WANT_VALID_MS);
        node.endpoints().find(b.getKey()).ifPresent(e -> step(e, b.getValue()));
      }
    }
    tellQueues();
  }

  private void tellQueues() {
    node.queues().retain(books::containsKey);
    for (Map.Entry<String, OrderBook> b : books.entrySet()) {
      Optional<Endpoint> e = node.endpoints().find(b.getKey());
      Optional<EngineInfo> engine = e.flatMap(x -> engine(x.entry().service()));
      Map<String, Integer> queued =
          engine.isEmpty() || b.getValue().wantCount() == 0
              ? Map.of()
              : b.getValue().queued(context(e.get(), b.getValue(), engine.get()));
      node.queues().own(b.getKey(), queued);
    }
  }

  private OrderContext context(Endpoint e, OrderBook book, EngineInfo engine) {
    return new EndpointContext(node, owners, copies, loads, e, book, engine);
  }

  /** Called now and then: wants copies of models whose demand outgrows those that there are. */
  public void spread() {
    spread.tick();
  }

  /** Wants a model or an adapter at an endpoint, whoever orders it. */
  private void wantAt(Endpoint e, String model, String adapter, long goalMs) {
    String its = e.entry().domain();
    if (owners.holds(e.id(), its)) {
      onWant(e.id(), model, adapter, goalMs);
    } else {
      PeerMessage.Want want = new PeerMessage.Want(e.id(), model, adapter, goalMs - node.now());
      owners.holder(e.id(), its).ifPresent(holder -> network.send(holder, want));
    }
  }

  /** Called now and then: fetches models that no endpoint has a copy of, while there is room. */
  public void prefetch() {
    long now = node.now();
    for (Endpoint e : List.copyOf(node.endpoints().all())) {
      Optional<EngineInfo> engine = engine(e.entry().service());
      boolean own = owners.holds(e.id(), e.entry().domain()) && owners.mayOrder(e.id());
      if (engine.isEmpty() || !own || e.entry().leaving()) {
        continue;
      }
      // A load keeps its endpoint from all other orders for seconds; few may once there are
      // callers.
      int most = node.demand().any() ? 1 : node.settings().storeLoadsAtOnce();
      if (loads.fromStore(now) >= most) {
        return;
      }
      OrderBook book = book(e);
      if (book.wantCount() == 0) {
        prefetch
            .next(e, engine.get(), fetched, now)
            .ifPresent(
                m -> {
                  node.log().line("prefetch").field("endpoint", e.id()).field("model", m).write();
                  book.want(m, "", now + Spread.GOAL_MS, now);
                  step(e, book);
                });
      }
    }
  }

  private boolean forgotten(String id) {
    Optional<Endpoint> e = node.endpoints().find(id);
    return e.isEmpty() || !owners.holds(id, e.get().entry().domain());
  }

  private OrderBook book(Endpoint e) {
    Long start = born.put(e.id(), e.entry().startedAtMs());
    if (start != null && start != e.entry().startedAtMs()) {
      books.remove(e.id());
    }
    return books.computeIfAbsent(e.id(), id -> new OrderBook());
  }

  private void step(Endpoint e, OrderBook book) {
    if (!owners.mayOrder(e.id()) || e.entry().leaving()) {
      return;
    }
    Optional<EngineInfo> engine = engine(e.entry().service());
    if (engine.isEmpty()) {
      return;
    }
    OrderContext context = context(e, book, engine.get());
    Optional<OrderBook.Step> step = book.next(context, node.now());
    if (step.isEmpty()) {
      return;
    }
    if (step.get() instanceof OrderBook.Step.Send s) {
      sent.inc();
      engines.order(e.entry(), s.order(), a -> onAnswer(e, book, context, s, a));
    } else if (step.get() instanceof OrderBook.Step.Retire r) {
      node.log().line("retire").field("endpoint", e.id()).field("model", r.model()).write();
      tell(e, new HoldingChange(r.model(), "", HoldingChange.Kind.EVICTED));
    } else {
      engines.report(
          e.entry(),
          r -> {
            node.log()
                .line("report")
                .field("endpoint", e.id())
                .field("orders", r.map(x -> x.acceptedOrders()).orElse(-1L))
                .field("models", r.map(x -> x.models().toString()).orElse(""))
                .write();
            book.onReport(r, node.now());
            step(e, book);
          });
    }
  }

  private void onAnswer(
      Endpoint e,
      OrderBook book,
      OrderContext context,
      OrderBook.Step.Send s,
      OrderResponse answer) {
    node.log()
        .line("order")
        .field("endpoint", e.id())
        .field("op", s.order().load() ? "load" : "evict")
        .field("model", s.order().model())
        .field("adapter", s.order().adapter().orElse(""))
        .field("fence", s.order().fencingNumber())
        .field("expected_orders", s.order().expectedOrders())
        .field("answer", answer.name().toLowerCase(java.util.Locale.ROOT))
        .write();
    if (answer == OrderResponse.FENCED) {
      owners.outranked(e.id());
    }
    book.onAnswer(answer, context, node.now()).forEach(c -> tell(e, c));
    step(e, book);
  }

  private void tell(Endpoint e, HoldingChange c) {
    PeerMessage.Changed.Kind kind = PeerMessage.Changed.Kind.valueOf(c.kind().name());
    boolean fromStore = false;
    long forMs = 0;
    if (kind == PeerMessage.Changed.Kind.LOADING) {
      ModelInfo m = engine(e.entry().service()).map(x -> x.models().get(c.model())).orElse(null);
      forMs = m == null ? 0 : PlacementChooser.loadMs(e.entry(), m);
      fromStore = m != null && forMs == m.storeLoadMs() && !book(e).heldBefore(c.model());
    }
    apply(e, c.model(), c.adapter(), kind, fromStore, forMs, node.now());
    peers.broadcast(
        new PeerMessage.Changed(e.id(), c.model(), c.adapter(), kind, fromStore, forMs));
  }

  private void apply(
      Endpoint e,
      String model,
      String adapter,
      PeerMessage.Changed.Kind kind,
      boolean fromStore,
      long forMs,
      long now) {
    switch (kind) {
      case LOADING -> {
        fetched.add(model);
        loads.begin(e.id(), new LoadBoard.Load(model, fromStore, now + forMs));
      }
      case LOADED -> {
        if (adapter.isEmpty()) {
          loads.end(e.id(), now);
        }
        e.news(model, adapter, true, now);
        changed.run();
      }
      case EVICTED -> e.news(model, adapter, false, now);
      default -> throw new IllegalStateException("no such change: " + kind);
    }
  }

  private Optional<EngineInfo> engine(String service) {
    return node.configuration().flatMap(c -> c.service(service)).flatMap(s -> s.engine());
  }
}
