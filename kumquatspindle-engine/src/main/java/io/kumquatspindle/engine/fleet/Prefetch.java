package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
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
    Set<String> copied = new HashSet<>(held);
    for (Endpoint e : all) {
      copied.addAll(e.models(now));
      copied.addAll(e.entry().inMemory());
      copied.addAll(e.entry().onDisk());
      loads.at(e.id(), now).ifPresent(l -> copied.add(l.model()));
    }
    return engine.models().keySet().stream()
        .filter(m -> !copied.contains(m) && home(m, all, now).equals(endpoint.id()))
        .max(Comparator.comparingLong(m -> Hashes.of(m)));
  }

  /** Each model has one endpoint that fetches it, so that no two fetch the same. */
  private String home(String model, Collection<Endpoint> all, long now) {
    return all.stream()
        .filter(e -> !busy(e, now))
        .map(Endpoint::id)
        .max(Comparator.comparingLong(id -> Hashes.of(model + id)))
        .orElse("");
  }

  private boolean busy(Endpoint e, long now) {
    return e.models(now).stream().anyMatch(m -> demand.rate(m, now) >= BUSY_PER_S);
  }
}
