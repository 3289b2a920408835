package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import java.util.Collection;
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
    String service = endpoint.entry().service();
    List<Endpoint> all = endpoints.of(service);
    if (loads.at(endpoint.id(), now).isPresent() || busy(endpoint, now)) {
      return Optional.empty();
    }
    Map<String, Integer> copies = copies(all, now);
    held.forEach(m -> copies.merge(m, 1, Integer::sum));
    return engine.models().values().stream()
        .filter(m -> copies.getOrDefault(m.name(), 0) < wanted(m))
        .filter(m -> home(m.name(), all, now).equals(endpoint.id()))
        .max(Comparator.comparingInt(Prefetch::wanted).thenComparing(m -> Hashes.of(m.name())))
        .map(ModelInfo::name);
  }

  /** A model with adapters is one that customers work with: its only copy may leave. */
  private static int wanted(ModelInfo model) {
    return model.adapters() > 0 ? 2 : 1;
  }

  private Map<String, Integer> copies(List<Endpoint> all, long now) {
    Map<String, Integer> copies = new HashMap<>();
    for (Endpoint e : all) {
      copied(e, now).forEach(m -> copies.merge(m, 1, Integer::sum));
    }
    return copies;
  }

  private Set<String> copied(Endpoint e, long now) {
    Set<String> copied = new HashSet<>(e.models(now));
    copied.addAll(e.entry().inMemory());
    copied.addAll(e.entry().onDisk());
    loads.at(e.id(), now).ifPresent(l -> copied.add(l.model()));
    return copied;
  }

  /** Each model has one endpoint that fetches it, so that no two fetch the same. */
  private String home(String model, Collection<Endpoint> all, long now) {
    return all.stream()
        .filter(e -> !busy(e, now) && !copied(e, now).contains(model))
        .map(Endpoint::id)
        .max(Comparator.comparingLong(id -> Hashes.of(model + id)))
        .orElse("");
  }

  private boolean busy(Endpoint e, long now) {
    return e.models(now).stream().anyMatch(m -> demand.rate(m, now) >= BUSY_PER_S);
  }
}
