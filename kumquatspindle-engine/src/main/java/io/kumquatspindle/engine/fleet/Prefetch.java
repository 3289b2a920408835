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
 * Chooses models to fetch from the weight store before anyone asks. Answers rare models that no
 * endpoint has a copy of: their first request would wait for the weight store, which is slow, while
 * a copy on a disk is loaded in about a second. Used while the weight store has room.
 */
public final class Prefetch {
  /** Requests a second of a model that is not disturbed by a load at its endpoint. */
  private static final double BUSY_PER_S = 1;

  private final EndpointTable endpoints;
  private final ModelDemand demand;
  private final LoadBoard loads;

  /** What each endpoint should fetch, by service; the same for all questions of one moment. */
  private final Map<String, Map<String, String>> planned = new HashMap<>();

  private long plannedMs = Long.MIN_VALUE;

  /**
   * Creates the choice.
   *
   * @param endpoints known endpoints
   * @param demand demand for models
   * @param loads loads in progress
   */
  public Prefetch(EndpointTable endpoints, ModelDemand demand, LoadBoard loads) {
    this.endpoints = endpoints;
    this.demand = demand;
    this.loads = loads;
  }

  /**
   * Chooses the next model that an endpoint should fetch.
   *
   * @param endpoint the endpoint
   * @param engine what the engines of its service have in common
   * @param held models that other sources know an endpoint to have held
   * @param now present time, in ms
   * @return name of the model, or empty if the endpoint should fetch nothing now
   */
  public Optional<String> next(Endpoint endpoint, EngineInfo engine, Set<String> held, long now) {
    if (plannedMs != now || !planned.containsKey(endpoint.entry().service())) {
      planned.keySet().removeIf(service -> plannedMs != now);
      plannedMs = now;
      planned.put(endpoint.entry().service(), plan(endpoint.entry().service(), engine, held, now));
    }
    return Optional.ofNullable(planned.get(endpoint.entry().service()).get(endpoint.id()));
  }

  /** Chooses for all endpoints of a service: each missing model has one that fetches it. */
  private Map<String, String> plan(String service, EngineInfo engine, Set<String> held, long now) {
    Map<String, Integer> copies = new HashMap<>();
    held.forEach(m -> copies.merge(m, 1, Integer::sum));
    List<Candidate> idle = new ArrayList<>();
    for (Endpoint e : endpoints.of(service)) {
      Set<String> copied = copied(e, now);
      copied.forEach(m -> copies.merge(m, 1, Integer::sum));
      if (!busy(e, now)) {
        idle.add(new Candidate(e, copied, loads.at(e.id(), now).isPresent()));
      }
    }
    Map<String, String> plan = new HashMap<>();
    engine.models().values().stream()
        .filter(m -> copies.getOrDefault(m.name(), 0) < wanted(m))
        .sorted(
            Comparator.comparingInt(Prefetch::wanted)
                .thenComparing(m -> Hashes.of(m.name()))
                .reversed())
        .forEach(
            m ->
                home(m.name(), idle)
                    .filter(c -> !c.loading())
                    .ifPresent(c -> plan.putIfAbsent(c.endpoint().id(), m.name())));
    return plan;
  }

  /** An endpoint that is not busy. */
  private record Candidate(Endpoint endpoint, Set<String> copied, boolean loading) {}

  /** A model with adapters is one that customers work with: its only copy may leave. */
  private static int wanted(ModelInfo model) {
    return model.adapters() > 0 ? 2 : 1;
  }

  private Set<String> copied(Endpoint e, long now) {
    Set<String> copied = new HashSet<>(e.models(now));
    copied.addAll(e.entry().inMemory());
    copied.addAll(e.entry().onDisk());
    loads.at(e.id(), now).ifPresent(l -> copied.add(l.model()));
    return copied;
  }

  /** Each model has one endpoint that fetches it, so that no two fetch the same. */
  private static Optional<Candidate> home(String model, List<Candidate> idle) {
    long hash = Hashes.of(model);
    Candidate home = null;
    long most = Long.MIN_VALUE;
    for (Candidate c : idle) {
      long h = Hashes.of(hash, c.endpoint().hash());
      if (h > most && !c.copied().contains(model)) {
        home = c;
        most = h;
      }
    }
    return Optional.ofNullable(home);
  }

  private boolean busy(Endpoint e, long now) {
    return e.models(now).stream().anyMatch(m -> demand.rate(m, now) >= BUSY_PER_S);
  }
}
