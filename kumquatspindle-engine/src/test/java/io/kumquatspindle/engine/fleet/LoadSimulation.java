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
 * Simulates requests for models in virtual time, to evaluate the decisions about loads. The engines
 * execute one order at a time and hold two models, initially the two in highest demand; each rarely
 * used model has a copy on the disk of one engine.
 */
final class LoadSimulation {
  static final String SERVICE = "s";
  private static final int ENGINES = 8;
  private static final int MODELS = 60;
  private static final double ENGINE_MB = 200;
  private static final double MODEL_MB = 70;
  private static final long STEP_MS = 20;
  private static final long STORE_MS = 6_000;
  private static final long DISK_MS = 1_000;
  private static final long RUN_MS = 400;
  private static final long EVICTION_MS = 55;
  private static final double HOT_PER_S = 35;
  private static final double WARM_SHARE = 0.3;
  private static final long HOT_GOAL_MS = 300;
  private static final long PLACEMENT_RETRY_MS = 1_000;

  /** Capacity of a weight store that never slows loads down, in concurrent loads. */
  private static final int UNLIMITED = Integer.MAX_VALUE;

  private final boolean baseline;
  private final int storeCapacity;
  private final Random random;
  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final ActiveLoads loads = new ActiveLoads(4);
  private final LoadQueues queues = new LoadQueues();
  private final ActiveRequests running = new ActiveRequests();
  private final ReplicaPolicy replicas = new ReplicaPolicy(endpoints, demand, loads);
  private final PlacementChooser chooser =
      new PlacementChooser(endpoints, replicas, loads, queues, running);
  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final EngineInfo engineInfo;
  private final List<SimulatedRequest> waiting = new ArrayList<>();
  private final List<SimulatedRequest> served = new ArrayList<>();
  private final Map<String, Integer> storeLoads = new HashMap<>();
  private final List<Long> storeLoadDurations = new ArrayList<>();
  private int maxConcurrentStoreLoads;
  private long now;

  /**
   * Creates a simulation.
   *
   * @param seed seed of the arrivals
   * @param baseline whether to simulate the baseline: loads in order of age, and queues known only
   *     to the owner of the endpoint
   */
  LoadSimulation(long seed, boolean baseline) {
    this(seed, baseline, UNLIMITED, true);
  }

  /**
   * Creates a simulation.
   *
   * @param seed seed of the arrivals
   * @param baseline whether to simulate the baseline
   * @param storeCapacity number of concurrent loads that the weight store serves at full speed;
   *     beyond it each takes proportionally longer
   * @param copies whether each rarely used model has a copy on the disk of one engine
   */
  LoadSimulation(long seed, boolean baseline, int storeCapacity, boolean copies) {
    this.baseline = baseline;
    this.storeCapacity = storeCapacity;
    this.random = new Random(seed);
    Map<String, ModelInfo> models = new HashMap<>();
    for (int i = 0; i < MODELS; i++) {
      models.put("m" + i, model("m" + i));
    }
    models.put("hot", model("hot"));
    models.put("warm", model("warm"));
    models.put("next", model("next"));
    engineInfo = new EngineInfo(64, 100_000, ENGINE_MB, 8, 4, models);
    for (int e = 0; e < ENGINES; e++) {
      Set<String> disk = new HashSet<>();
      for (int i = e; copies && i < MODELS; i += ENGINES) {
        disk.add("m" + i);
      }
      if (copies && e == 0) {
        disk.add("next");
      }
      SimulatedEngine engine = new SimulatedEngine();
      engine.held.addAll(Set.of("hot", "warm"));
      engines.put("e" + e, engine);
      endpoints.put(entry("e" + e, engine.held, disk), now);
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
   * Simulates arrivals for a time.
   *
   * @param forMs the time, in ms
   * @param rarePerS requests per second for rarely used models
   * @param hot name of the model in highest demand
   * @param rareGoalMs goal of requests for rarely used models, in ms
   */
  void run(long forMs, double rarePerS, String hot, long rareGoalMs) {
    long end = now + forMs;
    while (now < end) {
      for (double p = rarePerS * STEP_MS / 1_000; random.nextDouble() < p; p--) {
        addRequest("m" + random.nextInt(MODELS), rareGoalMs);
      }
      if (!hot.isEmpty() && random.nextDouble() < HOT_PER_S * STEP_MS / 1_000) {
        addRequest(random.nextDouble() < WARM_SHARE ? "warm" : hot, HOT_GOAL_MS);
      }
      step();
    }
  }

  /** Simulates a time without arrivals, so that waiting requests are served. */
  void drain(long forMs) {
    run(forMs, 0, "", 0);
  }

  private void addRequest(String model, long goalMs) {
    demand.addRequests(model, 1, now);
    waiting.add(new SimulatedRequest(model, now, now + goalMs));
  }

  private void step() {
    int concurrent = (int) engines.values().stream().filter(e -> e.loadingFromStore).count();
    maxConcurrentStoreLoads = Math.max(maxConcurrentStoreLoads, concurrent);
    double storeSpeed = Math.min(1, (double) storeCapacity / Math.max(1, concurrent));
    engines.forEach((id, engine) -> advanceEngine(id, engine, storeSpeed));
    waiting.removeIf(this::serve);
    waiting.forEach(this::requestPlacement);
    engines.forEach(this::runScheduler);
    now += STEP_MS;
  }

  private boolean serve(SimulatedRequest r) {
    List<Endpoint> holders =
        endpoints.available(SERVICE).stream().filter(e -> e.holds(r.model, "", now)).toList();
    if (holders.isEmpty()) {
      return false;
    }
    String id = holders.get(random.nextInt(holders.size())).id();
    r.servedMs = now;
    served.add(r);
    engines.get(id).busyUntilMs.put(r.model, now + RUN_MS);
    engines.get(id).scheduler.recordUse(r.model, "", now);
    return true;
  }

  private void requestPlacement(SimulatedRequest r) {
    if (now - r.lastPlacementMs < PLACEMENT_RETRY_MS) {
      return;
    }
    r.lastPlacementMs = now;
    long goal = baseline ? 0 : r.goalMs;
    chooser
        .choose(SERVICE, engineInfo, r.model, "", "west", Set.of(), now)
        .ifPresent(e -> engines.get(e.id()).scheduler.requestLoad(r.model, "", goal, now));
  }

  private void runScheduler(String id, SimulatedEngine engine) {
    Endpoint e = endpoints.find(id).orElseThrow();
    OrderContext context = new Context(e, engine);
    engine.scheduler.expireRequests(now - 3_000);
    engine.scheduler.loading().ifPresent(m -> loads.confirmedByOwner(id, 1_000, now));
    engine
        .scheduler
        .next(context, now)
        .ifPresent(
            s -> {
              if (s instanceof OrderScheduler.Step.SendOrder send) {
                OrderResponse response = execute(e, engine, send.order());
                engine
                    .scheduler
                    .onResponse(response, context, now)
                    .forEach(c -> applyChange(e, c, context));
              } else if (s instanceof OrderScheduler.Step.ReadState) {
                List<LoadedModel> held =
                    engine.held.stream().map(m -> new LoadedModel(m, Set.of())).toList();
                engine.scheduler.onReport(
                    Optional.of(new EngineReport(held, !engine.loading.isEmpty(), engine.orders)),
                    now);
              } else if (s instanceof OrderScheduler.Step.DrainModel r) {
                e.updateHolding(r.model(), "", false, now);
              }
            });
    queues.updateOwnQueue(id, baseline ? Map.of() : engine.scheduler.queuedLoads(context));
  }

  private void applyChange(Endpoint e, HoldingChange c, OrderContext context) {
    switch (c.kind()) {
      case LOADING -> {
        long ms = context.loadMs(c.model());
        loads.started(e.id(), c.model(), ms == STORE_MS, ms, now);
      }
      case LOADING_FROM_STORE -> loads.started(e.id(), c.model(), true, STORE_MS, now);
      case LOADED -> {
        loads.ended(e.id(), now);
        e.updateHolding(c.model(), "", true, now);
      }
      default -> e.updateHolding(c.model(), "", false, now);
    }
  }

  private OrderResponse execute(Endpoint e, SimulatedEngine engine, ModelOrder order) {
    if (engine.held.contains(order.model()) == order.load()) {
      return OrderResponse.HOLDS;
    }
    if (!engine.loading.isEmpty()) {
      boolean repeated = order.load() && engine.loading.equals(order.model());
      return repeated ? OrderResponse.ACCEPTED : OrderResponse.CONFLICT;
    }
    if (now < engine.evictedMs) {
      return OrderResponse.CONFLICT;
    }
    engine.orders++;
    if (order.load()) {
      boolean store = !e.entry().onDisk().contains(order.model());
      if (store) {
        storeLoads.merge(order.model(), 1, Integer::sum);
      }
      engine.loading = order.model();
      engine.loadingFromStore = store;
      engine.loadStartMs = now;
      engine.remainingMs = store ? STORE_MS : DISK_MS;
    } else {
      engine.held.remove(order.model());
      engine.evictedMs = now + EVICTION_MS;
    }
    return OrderResponse.ACCEPTED;
  }

  private void advanceEngine(String id, SimulatedEngine engine, double storeSpeed) {
    engine.busyUntilMs.values().removeIf(until -> now >= until);
    engine.remainingMs -= STEP_MS * (engine.loadingFromStore ? storeSpeed : 1);
    if (!engine.loading.isEmpty() && engine.remainingMs <= 0) {
      if (engine.loadingFromStore) {
        storeLoadDurations.add(now - engine.loadStartMs);
      }
      engine.held.add(engine.loading);
      engine.loading = "";
      engine.loadingFromStore = false;
    }
    // Heartbeats report the held models; the disk retains the loaded ones.
    if (now % 1_200 == 0) {
      EndpointEntry before = endpoints.find(id).orElseThrow().entry();
      Set<String> disk = new HashSet<>(before.onDisk());
      disk.addAll(engine.held);
      endpoints.put(entry(id, engine.held, disk), now);
    }
  }

  /** Returns the share of requests for rarely used models that were served within their goal. */
  double rareGoalShare() {
    List<SimulatedRequest> rare = all().stream().filter(r -> r.model.startsWith("m")).toList();
    return (double) rare.stream().filter(SimulatedRequest::goalMet).count() / rare.size();
  }

  /** Returns how long the first request for the model to which the demand shifts waited, in ms. */
  long firstNewlyHotDelayMs() {
    return all().stream()
        .filter(r -> r.model.equals("next"))
        .mapToLong(r -> r.servedMs - r.atMs)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }

  int storeLoads() {
    return storeLoads.values().stream().mapToInt(i -> i).sum();
  }

  int maxConcurrentStoreLoads() {
    return maxConcurrentStoreLoads;
  }

  /** Returns the durations of the loads from the weight store that ended since a time, in ms. */
  List<Long> storeLoadDurations() {
    return List.copyOf(storeLoadDurations);
  }

  private List<SimulatedRequest> all() {
    List<SimulatedRequest> all = new ArrayList<>(served);
    all.addAll(waiting);
    return all;
  }

  private final class Context implements OrderContext {
    private final Endpoint endpoint;
    private final SimulatedEngine engine;

    private Context(Endpoint endpoint, SimulatedEngine engine) {
      this.endpoint = endpoint;
      this.engine = engine;
    }

    @Override
    public EngineInfo engine() {
      return engineInfo;
    }

    @Override
    public long fencingNumber() {
      return 1;
    }

    @Override
    public long loadMs(String model) {
      return PlacementChooser.loadMs(endpoint.entry(), engineInfo.models().get(model));
    }

    @Override
    public boolean mayLoad(String model) {
      return loadMs(model) < STORE_MS || loads.mayStartFromStore(requestRate(model), now);
    }

    @Override
    public double requestRate(String model) {
      return baseline ? 0 : demand.rate(model, now);
    }

    @Override
    public double loadValue(String model) {
      return replicas.loadValue(SERVICE, model, now);
    }

    @Override
    public boolean replicaNeeded(String model) {
      return baseline || replicas.replicaNeeded(endpoint, model, loadMs(model), now);
    }

    @Override
    public boolean urgent(String model) {
      return !baseline && replicas.urgent(SERVICE, model, now);
    }

    @Override
    public boolean surplus(String model) {
      return !baseline && replicas.surplus(endpoint, model, now);
    }

    @Override
    public double keepValue(String model) {
      int held = Math.max(1, replicas.replicaCount(SERVICE, model, now));
      return baseline ? demand.rate(model, now) / held : replicas.keepValue(endpoint, model, now);
    }

    @Override
    public boolean requestsInProgress(String model, String adapter) {
      return engine.busyUntilMs.containsKey(model);
    }
  }
}
