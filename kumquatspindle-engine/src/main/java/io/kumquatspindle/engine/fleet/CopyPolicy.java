package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * How many copies of a model are needed, and what a copy is worth. Answers demand that moves
 * between models: copies that the last demand left behind give way to models that are asked for
 * now, and a model that many ask for gets as many copies as its callers need.
 */
public final class CopyPolicy {
  /** Requests a second from which a model should have a copy in each failure domain. */
  public static final double HOT_PER_S = 3;

  /** Requests a second that one copy serves well; an engine runs some tens at once. */
  static final double COPY_PER_S = 15;

  /** Copies beyond those that carry the demand: one endpoint at a time is expected to fail. */
  private static final int RESERVE_COPIES = 1;

  /**
   * Value of a copy that only stands in for endpoints that fail, in requests a second: more than
   * that of a rare model nobody waits for, less than that of one somebody waits for.
   */
  private static final double RESERVE_VALUE = 0.5;

  /** What each further copy adds to the value of one, in requests a second. */
  private static final double COPY_VALUE = 0.01;

  private final EndpointTable endpoints;
  private final ModelDemand demand;
  private final LoadBoard loads;

  /**
   * Creates the policy.
   *
   * @param endpoints known endpoints
   * @param demand demand for models
   * @param loads loads in progress
   */
  public CopyPolicy(EndpointTable endpoints, ModelDemand demand, LoadBoard loads) {
    this.endpoints = endpoints;
    this.demand = demand;
    this.loads = loads;
  }

  /**
   * Counts the copies of a model.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now present time, in ms
   * @return endpoints that take work and hold it
   */
  public int copies(String service, String model, long now) {
    return holders(service, model, now).size();
  }

  /**
   * Tells whether many callers ask for a model that no endpoint can serve.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now present time, in ms
   * @return whether its load goes before all others
   */
  public boolean missed(String service, String model, long now) {
    return demand.rate(model, now) >= HOT_PER_S
        && holders(service, model, now).stream().allMatch(e -> e.avoided(now));
  }

  /**
   * Tells whether one more copy of a model is needed, at one endpoint.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param loadMs time that the endpoint takes to load it, in ms
   * @param now present time, in ms
   * @return whether the copies elsewhere, and those on the way, do not suffice
   */
  public boolean needed(Endpoint endpoint, String model, long loadMs, long now) {
    String service = endpoint.entry().service();
    double rate = demand.rate(model, now);
    // Many callers do not wait for a copy that comes later than the endpoint's own would.
    long byMs = rate >= HOT_PER_S ? now + loadMs : Long.MAX_VALUE;
    List<Endpoint> others = new ArrayList<>(holders(service, model, now));
    others.addAll(coming(service, model, byMs, now));
    others.removeIf(e -> e.id().equals(endpoint.id()) || e.avoided(now));
    if (others.isEmpty() || rate / others.size() > COPY_PER_S) {
      return true;
    }
    return rate >= HOT_PER_S && others.stream().noneMatch(e -> sameDomain(e, endpoint));
  }

  /**
   * Tells whether any further copy of a model in demand may be needed in a failure domain. Cheaper
   * than the question for each endpoint, and never false where the answer for one is true.
   *
   * @param service name of the service
   * @param model name of the model
   * @param domain the failure domain
   * @param now present time, in ms
   * @return whether the copies that there are do not suffice
   */
  public boolean scarce(String service, String model, String domain, long now) {
    List<Endpoint> holders =
        holders(service, model, now).stream().filter(e -> !e.avoided(now)).toList();
    return holders.isEmpty()
        || demand.rate(model, now) / holders.size() > COPY_PER_S
        || holders.stream().noneMatch(e -> e.entry().domain().equals(domain));
  }

  /**
   * Tells whether callers would hardly miss an endpoint's copy of a model.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param now present time, in ms
   * @return whether the other copies carry the demand, also in its failure domain
   */
  public boolean spare(Endpoint endpoint, String model, long now) {
    return demand.any() && beyond(endpoint, model, RESERVE_COPIES, now);
  }

  /** Tells whether the other copies carry the demand and leave a number in reserve. */
  private boolean beyond(Endpoint endpoint, String model, int reserve, long now) {
    double rate = demand.rate(model, now);
    boolean near = rate < HOT_PER_S;
    int others = 0;
    for (Endpoint e : holders(endpoint.entry().service(), model, now)) {
      if (!e.id().equals(endpoint.id())) {
        others++;
        near = near || sameDomain(e, endpoint);
      }
    }
    return near && others >= reserve + Math.max(1, Math.ceil(rate / COPY_PER_S));
  }

  /**
   * Returns what it is worth that a model is loaded once more.
   *
   * @param service name of the service
   * @param model name of the model
   * @param now present time, in ms
   * @return requests a second that a copy serves, and one more for the first
   */
  public double value(String service, String model, long now) {
    int copies = copies(service, model, now);
    double rate = demand.rate(model, now);
    return copies == 0 ? rate + 1 : rate / (copies + 1);
  }

  /**
   * Returns what it is worth that an endpoint's copy of a model stays.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param now present time, in ms
   * @return requests a second that need this copy
   */
  public double keepValue(Endpoint endpoint, String model, long now) {
    int copies = Math.max(1, copies(endpoint.entry().service(), model, now));
    if (spare(endpoint, model, now)) {
      return COPY_VALUE;
    }
    // Before there is any demand, several copies are the only sign of a model that will be wanted.
    double value = demand.rate(model, now) / copies + COPY_VALUE * (copies - 1);
    return beyond(endpoint, model, 0, now) ? Math.min(RESERVE_VALUE, value) : value;
  }

  /**
   * Returns the requests a second that an endpoint's models are asked for.
   *
   * @param endpoint the endpoint
   * @param now present time, in ms
   * @return requests a second, each model's divided by its copies
   */
  public double rateAt(Endpoint endpoint, long now) {
    double sum = 0;
    for (String m : endpoint.models(now)) {
      double rate = demand.rate(m, now);
      sum += rate > 0 ? rate / Math.max(1, copies(endpoint.entry().service(), m, now)) : 0;
    }
    return sum;
  }

  private List<Endpoint> coming(String service, String model, long byMs, long now) {
    return loads.loading(model, byMs, now).stream()
        .flatMap(id -> endpoints.find(id).stream())
        .filter(e -> e.entry().service().equals(service) && !e.entry().leaving())
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
