package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.EngineReport;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ModelOrder;
import io.kumquatspindle.api.fleet.OrderResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/**
 * Plays requests for models against the decisions about loads in virtual time: engines that carry
 * out one order at a time and hold two or three models, at first the two that most callers ask for;
 * each rare model has a copy on the disk of one engine.
 */
final class LoadReplay {
  static final String SERVICE = "s";
  private static final int ENGINES = 8;
  private static final int MODELS = 60;
  private static final double ENGINE_MB = 200;
  private static final double MODEL_MB = 70;
  private static final long STEP_MS = 20;
  private static final long STORE_MS = 6_000;
  private static final long DISK_MS = 1_000;
  private static final long RUN_MS = 400;
  private static final double HOT_PER_S = 35;
  private static final double WARM_SHARE = 0.3;
  private static final long HOT_GOAL_MS = 300;
  private static final long ASK_AGAIN_MS = 1_000;

  private final boolean plain;
  private final Random random;
  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final LoadBoard loads = new LoadBoard();
  private final LoadQueues queues = new LoadQueues();
  private final RunningBoard running = new RunningBoard();
  private final CopyPolicy copies = new CopyPolicy(endpoints, demand, loads);
  private final PlacementChooser chooser =
      new PlacementChooser(endpoints, copies, loads, queues, running);
  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final EngineInfo info;
  private final List<Request> waiting = new ArrayList<>();
  private final List<Request> served = new ArrayList<>();
  private final Map<String, Integer> storeLoads = new HashMap<>();
  private long now;

  /** A request that waits for a model, or was served. */
  static final class Request {
    final String model;
    final long atMs;
    final long goalMs;
    long servedMs = Long.MAX_VALUE;
    private long askedMs = Long.MIN_VALUE / 2;

    private Request(String model, long atMs, long goalMs) {
      this.model = model;
      this.atMs = atMs;
      this.goalMs = goalMs;
    }

    boolean inGoal() {
      return servedMs <= goalMs;
    }
  }

  private static final class Engine {
    private final OrderBook book = new OrderBook();
    private final Set<String> held = new HashSet<>();
    private final Map<String, Long> runsUntil = new HashMap<>();
    private String loading = "";
    private long loadedMs;
    private long orders;
  }

  /**
   * Creates a replay.
   *
   * @param seed seed of the arrivals
   * @param plain whether to play the baseline: loads by age, queues that only the holder sees
   */
  LoadReplay(long seed, boolean plain) {
    this.plain = plain;
    this.random = new Random(seed);
    Map<String, ModelInfo> models = new HashMap<>();
    for (int i = 0; i < MODELS; i++) {
      models.put("m" + i, model("m" + i));
    }
    models.put("hot", model("hot"));
    models.put("warm", model("warm"));
    models.put("next", model("next"));
    info = new EngineInfo(64, 100_000, ENGINE_MB, 8, 4, models);
    for (int e = 0; e < ENGINES; e++) {
      Set<String> disk = new HashSet<>();
      for (int i = e; i < MODELS; i += ENGINES) {
        disk.add("m" + i);
      }
      if (e == 0) {
        disk.add("next");
      }
      Engine engine = new Engine();
      engine.held.addAll(Set.of("hot", "warm"));
      engines.put("e" + e, engine);
      endpoints.put(entry("e" + e, engine.held, disk));
    }
  }

  private static ModelInfo model(String name) {
    return new ModelInfo(name, MODEL_MB, STORE_MS, DISK_MS, 400, 1, 0);
  }

  private static EndpointEntry entry(String id, Set<String> models, Set<String> disk) {
    List<LoadedModel> held = models.stream().map(m -> new LoadedModel(m, Set.of())).toList();
    return new EndpointEntry(
        id,
        SERVICE,
        "10.0.0.1",
        80,
        "west",
        64,
        false,
        OptionalLong.empty(),
        0,
        held,
        Set.of(),
        disk);
  }

  /**
   * Plays arrivals for a time.
   *
   * @param forMs the time, in ms
   * @param rarePerS requests a second for rare models
   * @param hot name of the model that most ask for
   * @param rareGoalMs goal of requests for rare models, in ms
   */
  void play(long forMs, double rarePerS, String hot, long rareGoalMs) {
    long end = now + forMs;
    while (now < end) {
      for (double p = rarePerS * STEP_MS / 1_000; random.nextDouble() < p; p--) {
        arrive("m" + random.nextInt(MODELS), rareGoalMs);
      }
      if (!hot.isEmpty() && random.nextDouble() < HOT_PER_S * STEP_MS / 1_000) {
        arrive(random.nextDouble() < WARM_SHARE ? "warm" : hot, HOT_GOAL_MS);
      }
      step();
    }
  }

  /** Lets what waits be served. */
  void drain(long forMs) {
    play(forMs, 0, "", 0);
  }

  private void arrive(String model, long goalMs) {
    demand.add(model, 1, now);
    waiting.add(new Request(model, now, now + goalMs));
  }

  private void step() {
    engines.forEach(this::work);
    waiting.removeIf(this::serve);
    waiting.forEach(this::ask);
    engines.forEach(this::order);
    now += STEP_MS;
  }

  private boolean serve(Request r) {
    List<Endpoint> holders =
        endpoints.of(SERVICE).stream().filter(e -> e.holds(r.model, "", now)).toList();
    if (holders.isEmpty()) {
      return false;
    }
    String id = holders.get(random.nextInt(holders.size())).id();
    r.servedMs = now;
    served.add(r);
    engines.get(id).runsUntil.put(r.model, now + RUN_MS);
    engines.get(id).book.used(r.model, "", now);
    return true;
  }

  private void ask(Request r) {
    if (now - r.askedMs < ASK_AGAIN_MS) {
      return;
    }
    r.askedMs = now;
    long goal = plain ? 0 : r.goalMs;
    chooser
        .choose(SERVICE, info, r.model, "", "west", Set.of(), now)
        .ifPresent(e -> engines.get(e.id()).book.want(r.model, "", goal, now));
  }

  private void order(String id, Engine engine) {
    Endpoint e = endpoints.find(id).orElseThrow();
    OrderContext context = new Context(e, engine);
    engine.book.forgetWantsBefore(now - 3_000);
    engine
        .book
        .next(context, now)
        .ifPresent(
            s -> {
              if (s instanceof OrderBook.Step.Send send) {
                OrderResponse answer = carryOut(e, engine, send.order());
                engine.book.onAnswer(answer, context, now).forEach(c -> news(e, c, context));
              } else if (s instanceof OrderBook.Step.Report) {
                List<LoadedModel> held =
                    engine.held.stream().map(m -> new LoadedModel(m, Set.of())).toList();
                engine.book.onReport(
                    Optional.of(new EngineReport(held, !engine.loading.isEmpty(), engine.orders)),
                    now);
              } else if (s instanceof OrderBook.Step.Retire r) {
                e.news(r.model(), "", false, now);
              }
            });
    queues.own(id, plain ? Map.of() : engine.book.queued(context));
  }

  private void news(Endpoint e, HoldingChange c, OrderContext context) {
    switch (c.kind()) {
      case LOADING -> {
        long ms = context.loadMs(c.model());
        loads.begin(e.id(), new LoadBoard.Load(c.model(), ms == STORE_MS, now + ms));
      }
      case LOADED -> {
        loads.end(e.id(), now);
        e.news(c.model(), "", true, now);
      }
      default -> e.news(c.model(), "", false, now);
    }
  }

  private OrderResponse carryOut(Endpoint e, Engine engine, ModelOrder order) {
    if (engine.held.contains(order.model()) == order.load()) {
      return OrderResponse.HOLDS;
    }
    if (!engine.loading.isEmpty()) {
      return OrderResponse.CONFLICT;
    }
    engine.orders++;
    if (order.load()) {
      boolean store = !e.entry().onDisk().contains(order.model());
      if (store) {
        storeLoads.merge(order.model(), 1, Integer::sum);
      }
      engine.loading = order.model();
      engine.loadedMs = now + (store ? STORE_MS : DISK_MS);
    } else {
      engine.held.remove(order.model());
    }
    return OrderResponse.ACCEPTED;
  }

  private void work(String id, Engine engine) {
    engine.runsUntil.values().removeIf(until -> now >= until);
    if (!engine.loading.isEmpty() && now >= engine.loadedMs) {
      engine.held.add(engine.loading);
      engine.loading = "";
    }
    // Heartbeats tell what is held; the disk keeps what was loaded.
    if (now % 1_200 == 0) {
      EndpointEntry before = endpoints.find(id).orElseThrow().entry();
      Set<String> disk = new HashSet<>(before.onDisk());
      disk.addAll(engine.held);
      endpoints.put(entry(id, engine.held, disk));
    }
  }

  /** Returns the share of the requests for rare models that were served in their goal. */
  double rareInGoal() {
    List<Request> rare = all().stream().filter(r -> r.model.startsWith("m")).toList();
    return (double) rare.stream().filter(Request::inGoal).count() / rare.size();
  }

  /** Returns how long the first request for the model that many come to ask for waited, in ms. */
  long firstNextMs() {
    return all().stream()
        .filter(r -> r.model.equals("next"))
        .mapToLong(r -> r.servedMs - r.atMs)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }

  int storeLoads() {
    return storeLoads.values().stream().mapToInt(i -> i).sum();
  }

  private List<Request> all() {
    List<Request> all = new ArrayList<>(served);
    all.addAll(waiting);
    return all;
  }

  private final class Context implements OrderContext {
    private final Endpoint endpoint;
    private final Engine engine;

    private Context(Endpoint endpoint, Engine engine) {
      this.endpoint = endpoint;
      this.engine = engine;
    }

    @Override
    public EngineInfo engine() {
      return info;
    }

    @Override
    public long fence() {
      return 1;
    }

    @Override
    public long loadMs(String model) {
      return PlacementChooser.loadMs(endpoint.entry(), info.models().get(model));
    }

    @Override
    public boolean mayLoad(String model) {
      return loadMs(model) < STORE_MS || loads.fromStore(now) < 4;
    }

    @Override
    public double value(String model) {
      return copies.value(SERVICE, model, now);
    }

    @Override
    public boolean needed(String model) {
      return plain || copies.needed(endpoint, model, loadMs(model), now);
    }

    @Override
    public boolean missed(String model) {
      return !plain && copies.missed(SERVICE, model, now);
    }

    @Override
    public boolean spare(String model) {
      return !plain && copies.spare(endpoint, model, now);
    }

    @Override
    public double keepValue(String model) {
      int held = Math.max(1, copies.copies(SERVICE, model, now));
      return plain ? demand.rate(model, now) / held : copies.keepValue(endpoint, model, now);
    }

    @Override
    public boolean runs(String model, String adapter) {
      return engine.runsUntil.containsKey(model);
    }
  }
}
