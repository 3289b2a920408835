package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Chooses the endpoint at which to load a model or an adapter. Handles rarely used models that are
 * requested at many VMs concurrently, and shifting demand: prefers a local copy on the endpoint to
 * the weight store, free memory to an eviction, and an idle endpoint to one that is loading. The
 * choice is deterministic: all VMs with the same information choose the same endpoint.
 */
public final class PlacementChooser {
  /**
   * Cost of an endpoint in another failure domain, in ms: a replica there causes traffic between
   * domains.
   */
  private static final double OTHER_DOMAIN_COST_MS = 100;

  /** Cost of an eviction, in ms per unit of {@link ReplicaPolicy#keepValue}. */
  private static final double EVICTION_COST_MS = 1_500;

  /** Cost of an avoided or limited endpoint, in ms. */
  private static final double AVOIDED_COST_MS = 30_000;

  /** Cost of evicting a model that is in use, in ms: the eviction has to wait for its requests. */
  private static final double IN_USE_COST_MS = 1_500;

  /** Time after its load during which a model is assumed to be in use and is not evicted, in ms. */
  private static final long NEWLY_LOADED_MS = 1_000;

  /**
   * Weight of the duration of a load from the weight store: it occupies one of the few slots of the
   * store, and blocks its endpoint for the duration of several loads of local copies.
   */
  private static final double STORE_WEIGHT = 2;

  /**
   * Cost of a load per request per second at the endpoint, as a fraction of the load time. About
   * this fraction of the requests need an adapter to be loaded, which has to wait for the load.
   */
  private static final double DISRUPTION_FACTOR = 0.03;

  /**
   * Upper bound of the request rate used in the disruption cost; above the capacity of one replica.
   */
  private static final double MAX_DISRUPTED_PER_S = 20;

  /**
   * Cost of an endpoint at which work takes twice the usual time, in ms: all requests to the
   * replica take longer, but it is sooner there than at one that is busy with a load.
   */
  private static final double SLOW_COST_MS = 400;

  /**
   * Number of steps per doubling to which the speed of an endpoint is rounded, so that VMs which
   * have measured slightly different speeds choose the same endpoint.
   */
  private static final double SPEED_STEPS = 2;

  private final EndpointTable endpoints;
  private final ReplicaPolicy replicas;
  private final ActiveLoads loads;
  private final LoadQueues queues;
  private final ActiveRequests activeRequests;
  private final EndpointSpeeds speeds;

  /**
   * Creates a chooser that takes all endpoints for equally fast.
   *
   * @param endpoints known endpoints
   * @param replicas the policy that determines the value of replicas
   * @param loads loads in progress
   * @param queues queued loads
   * @param activeRequests requests in progress
   */
  public PlacementChooser(
      EndpointTable endpoints,
      ReplicaPolicy replicas,
      ActiveLoads loads,
      LoadQueues queues,
      ActiveRequests activeRequests) {
    this(endpoints, replicas, loads, queues, activeRequests, new EndpointSpeeds());
  }

  /**
   * Creates a chooser.
   *
   * @param endpoints known endpoints
   * @param replicas the policy that determines the value of replicas
   * @param loads loads in progress
   * @param queues queued loads
   * @param activeRequests requests in progress
   * @param speeds how long work takes at the endpoints
   */
  public PlacementChooser(
      EndpointTable endpoints,
      ReplicaPolicy replicas,
      ActiveLoads loads,
      LoadQueues queues,
      ActiveRequests activeRequests,
      EndpointSpeeds speeds) {
    this.endpoints = endpoints;
    this.replicas = replicas;
    this.loads = loads;
    this.queues = queues;
    this.activeRequests = activeRequests;
    this.speeds = speeds;
  }

  /**
   * Chooses an endpoint for a model or an adapter.
   *
   * @param service name of the service
   * @param engine properties shared by its engines
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param domain preferred failure domain
   * @param excludedIds IDs of endpoints to exclude
   * @param now current time, in ms
   * @return the endpoint, or empty if there is none
   */
  public Optional<Endpoint> choose(
      String service,
      EngineInfo engine,
      String model,
      String adapter,
      String domain,
      Set<String> excludedIds,
      long now) {
    ModelInfo info = engine.models().get(model);
    if (info == null) {
      return Optional.empty();
    }
    boolean heldByCandidate =
        endpoints.holders(service, model, now).stream()
            .anyMatch(e -> !excludedIds.contains(e.id()) && !e.statesLimit());
    long hash = Hashes.of(model);
    Endpoint best = null;
    double bestCostMs = 0;
    for (Endpoint e : endpoints.available(service)) {
      if (excludedIds.contains(e.id())
          || (!adapter.isEmpty() && heldByCandidate && !e.holds(model, "", now))) {
        continue;
      }
      double costMs = e.entry().domain().equals(domain) ? 0 : OTHER_DOMAIN_COST_MS;
      costMs += (Hashes.of(hash, e.hash()) & 0xff) * 0.2;
      costMs += slownessMs(e, now) + loadDelayMs(e, info, now);
      if (best == null || costMs < bestCostMs) {
        costMs += disruptionMs(e, engine, info, now);
      }
      if (best == null || costMs < bestCostMs) {
        best = e;
        bestCostMs = costMs;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Chooses an endpoint in a failure domain for an additional replica of a model.
   *
   * @param service name of the service
   * @param engine properties shared by its engines
   * @param model name of the model
   * @param domain the failure domain
   * @param now current time, in ms
   * @return an endpoint that does not hold the model, or empty if there is none
   */
  public Optional<Endpoint> chooseForReplica(
      String service, EngineInfo engine, String model, String domain, long now) {
    Set<String> others =
        endpoints.available(service).stream()
            .filter(e -> !e.entry().domain().equals(domain) || e.holds(model, "", now))
            .map(Endpoint::id)
            .collect(Collectors.toSet());
    return choose(service, engine, model, "", domain, others, now);
  }

  /** Returns the cost of an endpoint that is slower than others; negative if it is faster. */
  private double slownessMs(Endpoint e, long now) {
    double doublings = Math.log(speeds.learnedFactor(e, now)) / Math.log(2);
    return SLOW_COST_MS * (Math.pow(2, Math.round(SPEED_STEPS * doublings) / SPEED_STEPS) - 1);
  }

  /** Returns the estimated time until a load at an endpoint would complete, in ms. */
  private double loadDelayMs(Endpoint e, ModelInfo model, long now) {
    double ms = (e.unrestricted(now) ? 0 : AVOIDED_COST_MS) + remainingLoadMs(e, now);
    if (e.holds(model.name(), "", now)) {
      return ms + e.utilization(now) * model.diskLoadMs();
    }
    Optional<ActiveLoads.Load> active = loads.loadAt(e.id(), now);
    if (active.isPresent()) {
      if (active.get().model().equals(model.name())) {
        return ms;
      }
      ms += model.diskLoadMs();
    }
    if (!queues.queued(e.id(), model.name(), now)) {
      ms += queues.backlogMs(e.id(), now);
      ms += Math.max(0, NEWLY_LOADED_MS - loads.sinceLastLoadMs(e.id(), now));
    }
    return ms + weightedLoadMs(e.entry(), model);
  }

  /**
   * Returns the time until a load in progress ends, before which the engine takes no other order.
   */
  private long remainingLoadMs(Endpoint e, long now) {
    return loads.loadAt(e.id(), now).map(l -> Math.max(0, l.untilMs() - now)).orElse(0L);
  }

  /** Returns the cost of a load to the callers of the other models of an endpoint, in ms. */
  private double disruptionMs(Endpoint e, EngineInfo engine, ModelInfo model, long now) {
    boolean loading =
        loads.loadAt(e.id(), now).filter(l -> l.model().equals(model.name())).isPresent();
    if (loading || e.holds(model.name(), "", now)) {
      return 0;
    }
    double disruptedPerS = Math.min(MAX_DISRUPTED_PER_S, replicas.requestRate(e, now));
    return weightedLoadMs(e.entry(), model) * DISRUPTION_FACTOR * disruptedPerS
        + evictionCostMs(e, engine, model, now);
  }

  private static double weightedLoadMs(EndpointEntry entry, ModelInfo model) {
    long ms = loadMs(entry, model);
    return ms == model.storeLoadMs() ? STORE_WEIGHT * ms : ms;
  }

  /**
   * Estimates when a model or an adapter will be available at any endpoint without a limit, if it
   * is requested now. The time that an adapter itself takes to load is neglected.
   *
   * @param service name of the service
   * @param model the model
   * @param adapter name of the adapter, or an empty string
   * @param now current time, in ms
   * @return time from now, in ms
   */
  public long readyInMs(String service, ModelInfo model, String adapter, long now) {
    return readyInMs(service, model, adapter, Home.ANYWHERE, now);
  }

  /**
   * Estimates when a model or an adapter will be available at an endpoint that a request may be
   * sent to, as {@link #readyInMs(String, ModelInfo, String, long)} does for any endpoint.
   *
   * @param service name of the service
   * @param model the model
   * @param adapter name of the adapter, or an empty string
   * @param home where the request may be sent to
   * @param now current time, in ms
   * @return time from now, in ms
   */
  public long readyInMs(String service, ModelInfo model, String adapter, Home home, long now) {
    List<Endpoint> holders =
        endpoints.holders(service, model.name(), now).stream()
            .filter(e -> !e.statesLimit() && home.allows(e))
            .toList();
    if (!holders.isEmpty()) {
      return adapter.isEmpty()
          ? 0
          : holders.stream().mapToLong(e -> remainingLoadMs(e, now)).min().orElse(0);
    }
    long storeMs = model.storeLoadMs();
    if (loads.storeLoadCount(now) >= loads.storeLoadLimit()) {
      storeMs += model.storeLoadMs() / 2;
    }
    long best = storeMs;
    for (Endpoint e : endpoints.available(service)) {
      if (e.statesLimit() || !home.allows(e)) {
        continue;
      }
      Optional<ActiveLoads.Load> load = loads.loadAt(e.id(), now);
      long remainingMs = remainingLoadMs(e, now);
      boolean sameModel = load.isPresent() && load.get().model().equals(model.name());
      long ms = loadMs(e.entry(), model);
      if (sameModel) {
        best = Math.min(best, remainingMs);
      } else if (ms < model.storeLoadMs()) {
        boolean alreadyQueued = queues.queued(e.id(), model.name(), now);
        best =
            Math.min(best, remainingMs + ms + (alreadyQueued ? 0 : queues.backlogMs(e.id(), now)));
      }
    }
    return best;
  }

  /**
   * Returns the time that an endpoint takes to load a model if it loads nothing else.
   *
   * @param entry the endpoint
   * @param model the model
   * @return time in ms
   */
  public static long loadMs(EndpointEntry entry, ModelInfo model) {
    if (entry.inMemory().contains(model.name())) {
      return model.memoryLoadMs();
    }
    return entry.onDisk().contains(model.name()) ? model.diskLoadMs() : model.storeLoadMs();
  }

  /** Returns the total cost of the evictions needed until the model fits, cheapest first, in ms. */
  private double evictionCostMs(Endpoint e, EngineInfo engine, ModelInfo model, long now) {
    double free = engine.weightMemoryMb();
    Map<String, Double> costs = new HashMap<>();
    for (String m : e.models(now)) {
      ModelInfo info = engine.models().get(m);
      free -= info == null ? 0 : info.weightsMb();
      double inUse = activeRequests.inProgress(e.id(), m, now) ? IN_USE_COST_MS : 0;
      costs.put(m, inUse + EVICTION_COST_MS * replicas.keepValue(e, m, now));
    }
    double totalMs = 0;
    List<String> cheapest =
        costs.keySet().stream().sorted(Comparator.comparingDouble(costs::get)).toList();
    for (String m : cheapest) {
      if (free >= model.weightsMb()) {
        break;
      }
      free += engine.models().containsKey(m) ? engine.models().get(m).weightsMb() : 0;
      totalMs += costs.get(m);
    }
    return totalMs;
  }
}
