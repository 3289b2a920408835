package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Plans which models to load from the weight store before they are requested. Intended for rarely
 * used models of which no endpoint has a copy: their first request would have to wait for the slow
 * weight store, whereas a copy on disk loads in about a second. Used while the weight store has
 * spare capacity.
 */
public final class PrefetchPlanner {
  /**
   * Request rate of a model at or above which its endpoint is not used for prefetching, since a
   * load would disrupt the requests.
   */
  private static final double BUSY_REQUESTS_PER_S = 1;

  private final EndpointTable endpoints;
  private final ModelDemand demand;
  private final ActiveLoads loads;

  /**
   * The model that each endpoint should fetch, by service and endpoint. Reused for all calls with
   * the same time.
   */
  private final Map<String, Map<String, String>> plans = new HashMap<>();

  private long plansMs = Long.MIN_VALUE;

  /**
   * Creates a planner.
   *
   * @param endpoints known endpoints
   * @param demand request rates of models
   * @param loads loads in progress
   */
  public PrefetchPlanner(EndpointTable endpoints, ModelDemand demand, ActiveLoads loads) {
    this.endpoints = endpoints;
    this.demand = demand;
    this.loads = loads;
  }

  /**
   * Returns the next model that an endpoint should fetch.
   *
   * @param endpoint the endpoint
   * @param engine properties shared by the engines of its service
   * @param previouslyHeld additional models that an endpoint is known to have held
   * @param now current time, in ms
   * @return name of the model, or empty if the endpoint should not fetch a model now
   */
  public Optional<String> nextModel(
      Endpoint endpoint, EngineInfo engine, Set<String> previouslyHeld, long now) {
    if (plansMs != now || !plans.containsKey(endpoint.entry().service())) {
      plans.keySet().removeIf(service -> plansMs != now);
      plansMs = now;
      plans.put(
          endpoint.entry().service(),
          plan(endpoint.entry().service(), engine, previouslyHeld, now));
    }
    return Optional.ofNullable(plans.get(endpoint.entry().service()).get(endpoint.id()));
  }

  /** Plans for all endpoints of a service, and assigns each missing model to one endpoint. */
  private Map<String, String> plan(
      String service, EngineInfo engine, Set<String> previouslyHeld, long now) {
    Map<String, Integer> copies = new HashMap<>();
    previouslyHeld.forEach(m -> copies.merge(m, 1, Integer::sum));
    List<Candidate> idle = new ArrayList<>();
    for (Endpoint e : endpoints.available(service)) {
      Set<String> modelsWithCopy = modelsWithCopy(e, now);
      modelsWithCopy.forEach(m -> copies.merge(m, 1, Integer::sum));
      if (!busy(e, now)) {
        idle.add(new Candidate(e, modelsWithCopy, loads.loadAt(e.id(), now).isPresent()));
      }
    }
    Map<String, String> plan = new HashMap<>();
    engine.models().values().stream()
        .filter(m -> copies.getOrDefault(m.name(), 0) < targetCopies(m))
        .map(m -> new Missing(m.name(), targetCopies(m), Hashes.of(m.name())))
        .sorted(
            Comparator.comparingInt(Missing::targetCopies)
                .thenComparingLong(Missing::hash)
                .reversed())
        .forEach(
            m ->
                fetchingEndpoint(m, idle)
                    .filter(c -> !c.loading())
                    .ifPresent(c -> plan.putIfAbsent(c.endpoint().id(), m.model())));
    return plan;
  }

  /** A model with too few copies, and the hash of its name, which is compared often. */
  private record Missing(String model, int targetCopies, long hash) {}

  /** An endpoint that is not busy. */
  private record Candidate(Endpoint endpoint, Set<String> modelsWithCopy, boolean loading) {}

  /**
   * A model with adapters is in use by customers, and the endpoint with its only copy may leave.
   */
  private static int targetCopies(ModelInfo model) {
    return model.adapters() > 0 ? 2 : 1;
  }

  private Set<String> modelsWithCopy(Endpoint e, long now) {
    Set<String> names = new HashSet<>(e.models(now));
    names.addAll(e.entry().inMemory());
    names.addAll(e.entry().onDisk());
    loads.loadAt(e.id(), now).ifPresent(l -> names.add(l.model()));
    return names;
  }

  /**
   * Selects one endpoint for each model by rendezvous hashing, so that no two endpoints fetch the
   * same model.
   */
  private static Optional<Candidate> fetchingEndpoint(Missing missing, List<Candidate> idle) {
    Candidate best = null;
    long bestHash = Long.MIN_VALUE;
    for (Candidate c : idle) {
      long candidateHash = Hashes.of(missing.hash(), c.endpoint().hash());
      if (candidateHash > bestHash && !c.modelsWithCopy().contains(missing.model())) {
        best = c;
        bestHash = candidateHash;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean busy(Endpoint e, long now) {
    return e.models(now).stream().anyMatch(m -> demand.rate(m, now) >= BUSY_REQUESTS_PER_S);
  }
}
