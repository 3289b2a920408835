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
 * Chooses where a model, or an adapter of it, shall be loaded. Answers rare models that are asked
 * for at many VMs at once and demand that moves: a copy at hand goes before one in the weight
 * store, free memory before an eviction, an idle endpoint before one that loads; all VMs that know
 * the same choose the same.
 */
public final class PlacementChooser {
  /** What another failure domain adds, in ms: a replica there costs traffic between them. */
  private static final double OTHER_DOMAIN_MS = 100;

  /** Weight of what is evicted: ms for each unit of keep value. */
  private static final double EVICTION_MS = 1_500;

  /** What an endpoint that is avoided adds, in ms. */
  private static final double AVOIDED_MS = 30_000;

  /** What a model adds whose requests an eviction would have to wait for, in ms. */
  private static final double IN_USE_MS = 1_500;

  /** Time for which a model that was just loaded is in use and keeps its place, in ms. */
  private static final long JUST_LOADED_MS = 1_000;

  /**
   * Weight of the time of a load from the weight store: it takes one of the few places there, and
   * keeps its endpoint from several loads of copies at hand.
   */
  private static final double STORE_WEIGHT = 2;

  /**
   * Share of a load's time that each request a second at the endpoint adds; about that share of the
   * requests need an adapter loaded, which waits for the load.
   */
  private static final double DISTURBANCE = 0.03;

  /** Requests a second at an endpoint that count for that, at most; more than one copy carries. */
  private static final double MOST_DISTURBED_PER_S = 20;

  private final EndpointTable endpoints;
  private final CopyPolicy copies;
  private final LoadBoard loads;
  private final LoadQueues queues;
  private final RunningBoard running;

  /**
   * Creates a chooser.
   *
   * @param endpoints known endpoints
   * @param copies what copies are worth
   * @param loads loads in progress
   * @param queues loads that wait
   * @param running requests in progress
   */
  public PlacementChooser(
      EndpointTable endpoints,
      CopyPolicy copies,
      LoadBoard loads,
      LoadQueues queues,
      RunningBoard running) {
    this.endpoints = endpoints;
    this.copies = copies;
    this.loads = loads;
    this.queues = queues;
    this.running = running;
  }

  /**
   * Chooses an endpoint.
   *
   * @param service name of the service
   * @param engine what its engines have in common
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param domain failure domain that prefers the copy
   * @param excluded identities of endpoints that shall not be chosen
   * @param now present time, in ms
   * @return the endpoint, or empty if there is none
   */
  public Optional<Endpoint> choose(
      String service,
      EngineInfo engine,
      String model,
      String adapter,
      String domain,
      Set<String> excluded,
      long now) {
    ModelInfo info = engine.models().get(model);
    if (info == null) {
      return Optional.empty();
    }
    boolean held =
        endpoints.holders(service, model, now).stream().anyMatch(e -> !excluded.contains(e.id()));
    long hash = Hashes.of(model);
    Endpoint best = null;
    double bestMs = 0;
    for (Endpoint e : endpoints.of(service)) {
      if (excluded.contains(e.id()) || (!adapter.isEmpty() && held && !e.holds(model, "", now))) {
        continue;
      }
      double ms = e.entry().domain().equals(domain) ? 0 : OTHER_DOMAIN_MS;
      ms += (Hashes.of(hash, e.hash()) & 0xff) * 0.2;
      ms += waitMs(e, info, now);
      if (best == null || ms < bestMs) {
        ms += harmMs(e, engine, info, now);
      }
      if (best == null || ms < bestMs) {
        best = e;
        bestMs = ms;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Chooses the endpoint of a failure domain for one more copy of a model.
   *
   * @param service name of the service
   * @param engine what its engines have in common
   * @param model name of the model
   * @param domain the failure domain
   * @param now present time, in ms
   * @return an endpoint that does not hold the model, or empty if there is none
   */
  public Optional<Endpoint> chooseCopy(
      String service, EngineInfo engine, String model, String domain, long now) {
    Set<String> others =
        endpoints.of(service).stream()
            .filter(e -> !e.entry().domain().equals(domain) || e.holds(model, "", now))
            .map(Endpoint::id)
            .collect(Collectors.toSet());
    return choose(service, engine, model, "", domain, others, now);
  }

  /** Returns the time until a load at an endpoint would end, in ms. */
  private double waitMs(Endpoint e, ModelInfo model, long now) {
    double ms = e.avoided(now) ? AVOIDED_MS : 0;
    if (e.holds(model.name(), "", now)) {
      return ms + e.use(now) * model.diskLoadMs();
    }
    Optional<LoadBoard.Load> running = loads.at(e.id(), now);
    if (running.isPresent()) {
      ms += Math.max(0, running.get().untilMs() - now);
      if (running.get().model().equals(model.name())) {
        return ms;
      }
      ms += model.diskLoadMs();
    }
    if (!queues.queued(e.id(), model.name(), now)) {
      ms += queues.backlogMs(e.id(), now);
      ms += Math.max(0, JUST_LOADED_MS - loads.sinceLoadMs(e.id(), now));
    }
    return ms + weightedLoadMs(e.entry(), model);
  }

  /** Returns what a load at an endpoint would cost the callers of its other models, in ms. */
  private double harmMs(Endpoint e, EngineInfo engine, ModelInfo model, long now) {
    boolean loading = loads.at(e.id(), now).filter(l -> l.model().equals(model.name())).isPresent();
    if (loading || e.holds(model.name(), "", now)) {
      return 0;
    }
    double disturbed = Math.min(MOST_DISTURBED_PER_S, copies.rateAt(e, now));
    return weightedLoadMs(e.entry(), model) * DISTURBANCE * disturbed
        + evictionMs(e, engine, model, now);
  }

  private static double weightedLoadMs(EndpointEntry entry, ModelInfo model) {
    long ms = loadMs(entry, model);
    return ms == model.storeLoadMs() ? STORE_WEIGHT * ms : ms;
  }

  /**
   * Predicts when a model will be held somewhere, if it is wanted now.
   *
   * @param service name of the service
   * @param model the model
   * @param storeLoadsAtOnce loads from the weight store that run at full speed together
   * @param now present time, in ms
   * @return time from now, in ms
   */
  public long readyInMs(String service, ModelInfo model, int storeLoadsAtOnce, long now) {
    long storeMs = model.storeLoadMs();
    if (loads.fromStore(now) >= storeLoadsAtOnce) {
      storeMs += model.storeLoadMs() / 2;
    }
    if (!endpoints.holders(service, model.name(), now).isEmpty()) {
      return 0;
    }
    long best = storeMs;
    for (Endpoint e : endpoints.of(service)) {
      Optional<LoadBoard.Load> load = loads.at(e.id(), now);
      long rest = load.map(l -> Math.max(0, l.untilMs() - now)).orElse(0L);
      boolean own = load.isPresent() && load.get().model().equals(model.name());
      long ms = loadMs(e.entry(), model);
      if (own) {
        best = Math.min(best, rest);
      } else if (ms < model.storeLoadMs()) {
        boolean first = queues.queued(e.id(), model.name(), now);
        best = Math.min(best, rest + ms + (first ? 0 : queues.backlogMs(e.id(), now)));
      }
    }
    return best;
  }

  /**
   * Returns how long an endpoint takes to load a model, when it loads nothing else.
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

  /** Adds up what must be evicted until the model fits, cheapest first. */
  private double evictionMs(Endpoint e, EngineInfo engine, ModelInfo model, long now) {
    double free = engine.weightMemoryMb();
    Map<String, Double> costs = new HashMap<>();
    for (String m : e.models(now)) {
      ModelInfo info = engine.models().get(m);
      free -= info == null ? 0 : info.weightsMb();
      double inUse = running.runs(e.id(), m, now) ? IN_USE_MS : 0;
      costs.put(m, inUse + EVICTION_MS * copies.keepValue(e, m, now));
    }
    double ms = 0;
    List<String> cheapest =
        costs.keySet().stream().sorted(Comparator.comparingDouble(costs::get)).toList();
    for (String m : cheapest) {
      if (free >= model.weightsMb()) {
        break;
      }
      free += engine.models().containsKey(m) ? engine.models().get(m).weightsMb() : 0;
      ms += costs.get(m);
    }
    return ms;
  }
}
