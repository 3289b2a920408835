package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ServiceInfo;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Plans which model is loaded from the weight store next. Needed when more rarely used models are
 * requested than the store can load: it ends a load every few seconds, so that each load for a
 * model that others can serve leaves the callers of another model without service. Models are
 * loaded by the rate of the requests that nobody can serve; then those in high demand that a
 * failure domain lacks; then models that are not requested yet.
 */
public final class StoreLoadPlanner {
  /**
   * Lowest rate of unserved requests that counts as demand, in requests per second: one request
   * within the last 18 s.
   */
  private static final double MIN_UNSERVED_PER_S = 0.02;

  private final EndpointTable endpoints;
  private final ModelDemand demand;
  private final ActiveLoads loads;
  private final ReplicaPolicy replicas;
  private final PlacementChooser chooser;
  private final PrefetchPlanner prefetch;

  /** Why a model is loaded, in order of importance. */
  public enum Reason {
    /** Its replicas cannot serve the requests for it. */
    UNSERVED,
    /** It is in high demand and a failure domain has no replica. */
    DOMAIN,
    /** No endpoint, or too few of them, have a copy. */
    PREFETCH
  }

  /**
   * A load to start.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param reason why it is loaded
   * @param unservedPerS requests per second that no replica can serve
   * @param candidates number of models with unserved requests
   */
  public record Assignment(
      Endpoint endpoint, String model, Reason reason, double unservedPerS, int candidates) {}

  private record Candidate(ServiceInfo service, ModelInfo model, double unservedPerS) {}

  /**
   * Creates a planner.
   *
   * @param endpoints known endpoints
   * @param demand request rates of models
   * @param loads loads in progress
   * @param replicas the policy that determines the value of replicas
   * @param chooser chooses the endpoint of a load
   */
  public StoreLoadPlanner(
      EndpointTable endpoints,
      ModelDemand demand,
      ActiveLoads loads,
      ReplicaPolicy replicas,
      PlacementChooser chooser) {
    this.endpoints = endpoints;
    this.demand = demand;
    this.loads = loads;
    this.replicas = replicas;
    this.chooser = chooser;
    this.prefetch = new PrefetchPlanner(endpoints, demand, loads);
  }

  /**
   * Returns the load that should start next because of requests.
   *
   * @param services all services
   * @param domains all failure domains
   * @param excluded tests whether an endpoint, by ID, must not be used for a model
   * @param now current time, in ms
   * @return the load, or empty if none is needed or possible
   */
  public Optional<Assignment> nextRequested(
      Collection<ServiceInfo> services,
      List<String> domains,
      BiPredicate<String, String> excluded,
      long now) {
    List<Candidate> candidates = unserved(services, now);
    for (Candidate c : candidates) {
      Optional<Endpoint> endpoint = endpointFor(c, Optional.empty(), excluded, now);
      if (endpoint.isPresent()) {
        return endpoint.map(
            e ->
                new Assignment(
                    e, c.model().name(), Reason.UNSERVED, c.unservedPerS(), candidates.size()));
      }
    }
    return withoutReplicaInDomain(services, domains, excluded, now);
  }

  /**
   * Returns the load that should start next before there are requests.
   *
   * @param services all services
   * @param previouslyHeld additional models that an endpoint is known to have held
   * @param excluded tests whether an endpoint, by ID, must not be used for a model
   * @param now current time, in ms
   * @return the load, or empty if none is needed or possible
   */
  public Optional<Assignment> nextPrefetch(
      Collection<ServiceInfo> services,
      Set<String> previouslyHeld,
      BiPredicate<String, String> excluded,
      long now) {
    return services.stream()
        .filter(s -> s.engine().isPresent())
        .flatMap(s -> prefetch.plan(s.name(), engine(s), previouslyHeld, now).entrySet().stream())
        .filter(planned -> !excluded.test(planned.getKey(), planned.getValue()))
        .flatMap(planned -> prefetchAt(planned))
        .findFirst();
  }

  private Stream<Assignment> prefetchAt(Map.Entry<String, String> planned) {
    return endpoints
        .find(planned.getKey())
        .map(e -> new Assignment(e, planned.getValue(), Reason.PREFETCH, 0, 0))
        .stream();
  }

  private static EngineInfo engine(ServiceInfo service) {
    return service.engine().orElseThrow();
  }

  /** Returns the models that only the weight store can provide, by unserved requests. */
  private List<Candidate> unserved(Collection<ServiceInfo> services, long now) {
    List<Candidate> candidates = new ArrayList<>();
    for (ServiceInfo s : services) {
      if (s.engine().isEmpty()) {
        continue;
      }
      Map<String, Long> copyWaitMs = waitForCopiesMs(s, now);
      for (ModelInfo m : engine(s).models().values()) {
        double perS = replicas.unservedRate(s.name(), m.name(), now);
        boolean copyFirst = copyWaitMs.getOrDefault(m.name(), Long.MAX_VALUE) <= m.storeLoadMs();
        if (perS >= MIN_UNSERVED_PER_S && !copyFirst) {
          candidates.add(new Candidate(s, m, perS));
        }
      }
    }
    candidates.sort(Comparator.comparingDouble(Candidate::unservedPerS).reversed());
    return candidates;
  }

  /**
   * Returns the time until an endpoint with a copy of a model can load it, in ms, by model. A load
   * from the weight store instead would keep one more endpoint from loading its own copies.
   */
  private Map<String, Long> waitForCopiesMs(ServiceInfo service, long now) {
    Map<String, Long> waitMs = new HashMap<>();
    for (Endpoint e : endpoints.available(service.name())) {
      if (e.unrestricted(now)) {
        long ms = loads.loadAt(e.id(), now).map(l -> l.untilMs() - now).orElse(0L);
        e.entry().inMemory().forEach(m -> waitMs.merge(m, ms, Math::min));
        e.entry().onDisk().forEach(m -> waitMs.merge(m, ms, Math::min));
      }
    }
    return waitMs;
  }

  private Optional<Assignment> withoutReplicaInDomain(
      Collection<ServiceInfo> services,
      List<String> domains,
      BiPredicate<String, String> excluded,
      long now) {
    for (ServiceInfo s : services) {
      for (ModelInfo m : s.engine().map(e -> e.models().values()).orElse(List.of())) {
        if (demand.rate(m.name(), now) < ReplicaPolicy.HOT_PER_S) {
          continue;
        }
        for (String domain : domains) {
          Optional<Endpoint> endpoint =
              replicas.mayNeedReplica(s.name(), m.name(), domain, now)
                  ? endpointFor(new Candidate(s, m, 0), Optional.of(domain), excluded, now)
                  : Optional.empty();
          if (endpoint
              .filter(e -> replicas.replicaNeeded(e, m.name(), m.storeLoadMs(), now))
              .isPresent()) {
            return endpoint.map(e -> new Assignment(e, m.name(), Reason.DOMAIN, 0, 0));
          }
        }
      }
    }
    return Optional.empty();
  }

  private Optional<Endpoint> endpointFor(
      Candidate c, Optional<String> domain, BiPredicate<String, String> excluded, long now) {
    String service = c.service().name();
    String model = c.model().name();
    Set<String> unusable =
        endpoints.available(service).stream()
            .filter(
                e ->
                    excluded.test(e.id(), model)
                        || e.holds(model, "", now)
                        || loads.loadAt(e.id(), now).isPresent()
                        || domain.filter(d -> !d.equals(e.entry().domain())).isPresent())
            .map(Endpoint::id)
            .collect(Collectors.toSet());
    return chooser
        .choose(service, engine(c.service()), model, "", domain.orElse(""), unusable, now)
        .filter(e -> PlacementChooser.loadMs(e.entry(), c.model()) == c.model().storeLoadMs());
  }
}
