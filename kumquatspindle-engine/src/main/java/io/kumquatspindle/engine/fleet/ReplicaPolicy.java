package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how many replicas of a model are needed, and what a replica is worth. Adapts to shifting
 * demand: replicas that are no longer needed are replaced by models that are requested now, and a
 * model in high demand gets as many replicas as its request rate requires.
 */
public final class ReplicaPolicy {
  /** Request rate at or above which a model should have a replica in each failure domain. */
  public static final double HOT_PER_S = 3;

  /**
   * Requests per second that one replica serves well; an engine runs some tens of requests
   * concurrently.
   */
  static final double REPLICA_CAPACITY_PER_S = 15;

  /** Number of replicas in excess of the demand: one endpoint at a time is expected to fail. */
  private static final int RESERVE_REPLICAS = 1;

  /**
   * Maximum value of a replica that is needed only if another endpoint fails, in requests per
   * second: more than that of a rarely used model with no waiting requests, less than that of one
   * with waiting requests.
   */
  private static final double RESERVE_REPLICA_VALUE = 0.5;

  /**
   * Value of a surplus replica, and the amount that each additional replica adds to the value of
   * one, in requests per second.
   */
  private static final double MIN_REPLICA_VALUE = 0.01;

  private final EndpointTable endpoints;
  private final ModelDemand demand;
  private final ActiveLoads loads;

  /**
   * Creates the policy.
   *
   * @param endpoints known endpoints
   * @param demand request rates of models
   * @param loads loads in progress
   */
  public ReplicaPolicy(EndpointTable endpoints, ModelDemand demand, ActiveLoads loads) {
    this.endpoints = endpoints;
    this.demand = demand;
    this.loads = loads;
  }

  /**
   * Returns the number of replicas of a model.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now current time, in ms
   * @return the number of endpoints that accept new work and hold the model
   */
  public int replicaCount(String service, String model, long now) {
    return holders(service, model, now).size();
  }

  /**
   * Returns whether a model is in high demand but no endpoint can serve it.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now current time, in ms
   * @return whether its load takes precedence over all others
   */
  public boolean urgent(String service, String model, long now) {
    return demand.rate(model, now) >= HOT_PER_S
        && holders(service, model, now).stream().allMatch(e -> e.avoided(now));
  }

  /**
   * Returns whether an endpoint should load an additional replica of a model.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param loadMs time that the endpoint takes to load the model, in ms
   * @param now current time, in ms
   * @return whether the replicas at other endpoints, including those being loaded, do not suffice
   */
  public boolean replicaNeeded(Endpoint endpoint, String model, long loadMs, long now) {
    String service = endpoint.entry().service();
    double rate = demand.rate(model, now);
    // At a high request rate, a replica that becomes ready later than this endpoint's own would
    // does not count.
    long deadlineMs = rate >= HOT_PER_S ? now + loadMs : Long.MAX_VALUE;
    List<Endpoint> others = new ArrayList<>(holders(service, model, now));
    others.addAll(loadingEndpoints(service, model, deadlineMs, now));
    others.removeIf(e -> e.id().equals(endpoint.id()) || !e.unrestricted(now));
    if (others.isEmpty() || rate / others.size() > REPLICA_CAPACITY_PER_S) {
      return true;
    }
    return rate >= HOT_PER_S && others.stream().noneMatch(e -> sameDomain(e, endpoint));
  }

  /**
   * Returns the rate of the requests for a model that its replicas cannot serve.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now current time, in ms
   * @return requests per second beyond the capacity of the replicas, including those being loaded
   */
  public double unservedRate(String service, String model, long now) {
    double rate = demand.longTermRate(model, now);
    if (rate == 0) {
      return 0;
    }
    List<Endpoint> replicas = new ArrayList<>(holders(service, model, now));
    replicas.addAll(loadingEndpoints(service, model, Long.MAX_VALUE, now));
    long usable = replicas.stream().filter(e -> e.unrestricted(now)).count();
    return Math.max(0, rate - usable * REPLICA_CAPACITY_PER_S);
  }

  /**
   * Returns whether an additional replica of a model in demand may be needed in a failure domain.
   * Cheaper than calling {@link #replicaNeeded} for each endpoint, and never false if that returns
   * true for one of them.
   *
   * @param service name of the service
   * @param model name of the model
   * @param domain the failure domain
   * @param now current time, in ms
   * @return whether the existing replicas do not suffice
   */
  public boolean mayNeedReplica(String service, String model, String domain, long now) {
    List<Endpoint> holders =
        holders(service, model, now).stream().filter(e -> e.unrestricted(now)).toList();
    return holders.isEmpty()
        || demand.rate(model, now) / holders.size() > REPLICA_CAPACITY_PER_S
        || holders.stream().noneMatch(e -> e.entry().domain().equals(domain));
  }

  /**
   * Returns whether an endpoint's replica of a model can be evicted with little effect on callers.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param now current time, in ms
   * @return whether the other replicas can serve the demand, including in the failure domain of the
   *     endpoint
   */
  public boolean surplus(Endpoint endpoint, String model, long now) {
    return demand.hasDemand() && othersSuffice(endpoint, model, RESERVE_REPLICAS, now);
  }

  /**
   * Returns whether the other replicas can serve the demand and leave a number of them in reserve.
   */
  private boolean othersSuffice(Endpoint endpoint, String model, int reserve, long now) {
    double rate = demand.rate(model, now);
    boolean domainServed = rate < HOT_PER_S;
    int others = 0;
    for (Endpoint e : holders(endpoint.entry().service(), model, now)) {
      if (!e.id().equals(endpoint.id()) && !e.statesLimit()) {
        others++;
        domainServed = domainServed || sameDomain(e, endpoint);
      }
    }
    return domainServed
        && others >= reserve + Math.max(1, Math.ceil(rate / REPLICA_CAPACITY_PER_S));
  }

  /**
   * Returns the value of loading an additional replica of a model.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now current time, in ms
   * @return requests per second that the replica would serve, plus one if it is the only replica
   */
  public double loadValue(String service, String model, long now) {
    int replicas = replicaCount(service, model, now);
    double rate = demand.rate(model, now);
    return replicas == 0 ? rate + 1 : rate / (replicas + 1);
  }

  /**
   * Returns the value of keeping an endpoint's replica of a model.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param now current time, in ms
   * @return requests per second that depend on this replica
   */
  public double keepValue(Endpoint endpoint, String model, long now) {
    int replicas = Math.max(1, replicaCount(endpoint.entry().service(), model, now));
    if (surplus(endpoint, model, now)) {
      return MIN_REPLICA_VALUE;
    }
    // Without observed demand, several replicas are the only indication that a model will be
    // requested.
    double value = demand.rate(model, now) / replicas + MIN_REPLICA_VALUE * (replicas - 1);
    return othersSuffice(endpoint, model, 0, now) ? Math.min(RESERVE_REPLICA_VALUE, value) : value;
  }

  /**
   * Returns the request rate for the models of an endpoint.
   *
   * @param endpoint the endpoint
   * @param now current time, in ms
   * @return requests per second, with the rate of each model divided by its number of replicas
   */
  public double requestRate(Endpoint endpoint, long now) {
    double sum = 0;
    for (String m : endpoint.models(now)) {
      double rate = demand.rate(m, now);
      sum += rate > 0 ? rate / Math.max(1, replicaCount(endpoint.entry().service(), m, now)) : 0;
    }
    return sum;
  }

  private List<Endpoint> loadingEndpoints(String service, String model, long deadlineMs, long now) {
    return loads.endpointsLoading(model, deadlineMs, now).stream()
        .flatMap(id -> endpoints.find(id).stream())
        .filter(e -> e.entry().service().equals(service) && endpoints.acceptsWork(e))
        .filter(e -> !e.holds(model, "", now))
        .toList();
  }

  private List<Endpoint> holders(String service, String model, long now) {
    return endpoints.holders(service, model, now);
  }

  private static boolean sameDomain(Endpoint a, Endpoint b) {
    return a.entry().domain().equals(b.entry().domain());
  }
}
