package io.kumquatspindle.engine.fleet;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the endpoint of a request. Answers bursts and endpoints that are slow or fail: the one
 * with the least expected delay wins, sessions stay where their prompt is kept as long as that
 * costs little, and endpoints that failed lately come last.
 */
public final class EndpointSelector {
  /** What another failure domain adds, in shares of an endpoint's slots. */
  private static final double OTHER_DOMAIN = 0.15;

  /** What the endpoint of a session is preferred by, in shares of an endpoint's slots. */
  private static final double AFFINITY = 0.25;

  /** What a failure share of 1 adds, in shares of an endpoint's slots. */
  private static final double FAILURE = 6;

  /** What an endpoint to be avoided adds; more than all else together. */
  private static final double AVOIDED = 100;

  private final String domain;

  /**
   * Creates a selector.
   *
   * @param domain failure domain of this VM
   */
  public EndpointSelector(String domain) {
    this.domain = domain;
  }

  /**
   * Chooses an endpoint.
   *
   * @param candidates endpoints that can serve the request
   * @param excluded identities of endpoints that have been tried
   * @param session identity of the session, or empty text
   * @param now present time, in ms
   * @return the endpoint, or empty if all are excluded
   */
  public Optional<Endpoint> choose(
      Collection<Endpoint> candidates, Set<String> excluded, String session, long now) {
    String home = session.isEmpty() ? "" : home(candidates, session);
    Endpoint best = null;
    double bestCost = 0;
    for (Endpoint e : candidates) {
      if (excluded.contains(e.id())) {
        continue;
      }
      double cost = cost(e, now) - (e.id().equals(home) ? AFFINITY : 0);
      if (best == null || cost < bestCost) {
        best = e;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private double cost(Endpoint e, long now) {
    double cost = e.use(now) + FAILURE * e.failureShare(now);
    cost += e.entry().domain().equals(domain) ? 0 : OTHER_DOMAIN;
    cost += e.avoided(now) ? AVOIDED : 0;
    // Spreads equal choices; less than one slot of a large engine.
    return cost + (Hashes.of(e.id() + now) & 0xff) * 1e-5;
  }

  private static String home(Collection<Endpoint> candidates, String session) {
    String best = "";
    long bestWeight = 0;
    for (Endpoint e : candidates) {
      long weight = Hashes.of(session + '\0' + e.id());
      if (best.isEmpty() || weight > bestWeight) {
        best = e.id();
        bestWeight = weight;
      }
    }
    return best;
  }
}
