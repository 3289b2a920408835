package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
   * Assigns each model with too few copies to one endpoint.
   *
   * @param service name of the service
   * @param engine properties shared by the engines of the service
   * @param previouslyHeld additional models that an endpoint is known to have held
   * @param now current time, in ms
   * @return the model that each endpoint should fetch, by endpoint ID, the most important one first
   */
  public Map<String, String> plan(
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
    Map<String, String> plan = new LinkedHashMap<>();
    engine.models().values().stream()
        .filter(m -> copies.getOrDefault(m.name(), 0) < targetCopies(m))
        .map(m -> missing(m, copies.containsKey(m.name())))
        .sorted(Missing.BY_IMPORTANCE)
        .forEach(
            m ->
                fetchingEndpoint(m, idle)
                    .filter(c -> !c.loading())
                    .ifPresent(c -> plan.putIfAbsent(c.endpoint().id(), m.model())));
    return plan;
  }

  private static Missing missing(ModelInfo model, boolean hasCopy) {
    return new Missing(model.name(), hasCopy, targetCopies(model), Hashes.of(model.name()));
  }

  /** A model with too few copies, and the hash of its name, which is compared often. */
  private record Missing(String model, boolean hasCopy, int targetCopies, long hash) {
    private static final Comparator<Missing> BY_IMPORTANCE =
        Comparator.comparing(Missing::hasCopy)
            .thenComparing(
                Comparator.comparingInt(Missing::targetCopies)
                    .thenComparingLong(Missing::hash)
                    .reversed());
  }

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
