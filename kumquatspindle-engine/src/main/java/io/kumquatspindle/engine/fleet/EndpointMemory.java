package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Estimates whether the memory of an engine has room for one more request, so that no engine is
 * overfilled, which would crash it. Half of the memory is reserved for large requests, which are
 * counted by {@link MemoryGrants} and not here. Handles bursts of small requests that enter at many
 * VMs, each of which knows the requests of the others only by digests up to a cycle old, or not at
 * all during a network partition. Not thread-safe: confined to one owner thread.
 *
 * <p>The margin for what the reports do not show has two parts. In a cycle of digests about as many
 * requests end as begin, so that the number at an endpoint deviates from the reported one by about
 * its square root; the first part is a multiple of that, in requests of the usual size, in which
 * larger requests count for more. The second part is for bursts: what the other VMs probably send
 * to the endpoint within a cycle, beyond what ends there. It has a random weight in each choice, so
 * that the VMs together send as much as fits instead of all or nothing. Callers are assumed to be
 * spread over the VMs: the others get as many tokens for a model as this one.
 *
 * <p>VMs that are not heard are assumed to have as much in progress as the others had on average of
 * the last seconds: what a few VMs have at one moment says little about many. A request is accepted
 * in any case if the VMs that are heard keep to their share of the memory, since then all groups of
 * VMs together keep to the whole.
 */
public final class EndpointMemory {
  /** Margin in standard deviations of what the other VMs have sent and what has ended. */
  private static final double MARGIN_DEVIATIONS = 3.5;

  /** Share of the requests that are reported by other VMs of which the end is not known yet. */
  private static final double ENDED_SHARE = 0.5;

  /**
   * Lower bound of the random weight of what the other VMs probably send; the upper bound is one
   * more.
   */
  private static final double MIN_ARRIVALS_WEIGHT = 0.75;

  /** Time in which the weight of the size of a request halves, in ms. */
  private static final double SIZE_HALF_LIFE_MS = 30_000;

  /** Time over which the memory that the heard VMs use at an endpoint is averaged, in ms. */
  private static final double MEAN_MS = 10_000;

  /**
   * Variance of that mean as a part of the variance at one moment: twice the time of a short
   * request, of about half a second, divided by {@link #MEAN_MS}.
   */
  private static final double MEAN_VARIANCE_SHARE = 0.1;

  private static final int MAX_ENDPOINTS = 1_024;

  /** Lower bound of the share of the VMs that are heard, against division by zero. */
  private static final double MIN_HEARD_SHARE = 0.01;

  private final ActiveRequests activeRequests;
  private final ToLongFunction<Endpoint> capacityTokens;
  private final ExpectedArrivals.Fleet fleet;
  private final MemoryGrants grants;
  private final Map<String, Mean> heardMeans = new LruMap<>(MAX_ENDPOINTS);
  private double sumOfTokens;
  private double sumOfSquaredTokens;
  private long sizesAtMs;

  /** Exponentially decaying mean of the tokens that the heard VMs have at an endpoint. */
  private static final class Mean {
    private double tokens;
    private long atMs;

    private double update(double current, long now) {
      double kept = Math.exp(-Math.max(0, now - atMs) / MEAN_MS);
      tokens = tokens * kept + current * (1 - kept);
      atMs = now;
      return tokens;
    }
  }

  /** Memory for small requests at an endpoint, and what they use of it, in tokens. */
  private record Small(
      double bound, double heard, double reported, double unheard, double heardShare) {}

  /**
   * Creates an instance.
   *
   * @param activeRequests requests in progress at the endpoints
   * @param capacityTokens returns the memory of an endpoint in tokens; 0 if it has no bound
   * @param fleet the VMs
   * @param grants memory that is granted to large requests
   */
  public EndpointMemory(
      ActiveRequests activeRequests,
      ToLongFunction<Endpoint> capacityTokens,
      ExpectedArrivals.Fleet fleet,
      MemoryGrants grants) {
    this.activeRequests = activeRequests;
    this.capacityTokens = capacityTokens;
    this.fleet = fleet;
    this.grants = grants;
  }

  /**
   * Returns whether a request must not be sent to an endpoint without a grant of its memory.
   *
   * @param endpoint the endpoint
   * @param tokens size of the request
   * @return whether it is large there
   */
  public boolean isLarge(Endpoint endpoint, long tokens) {
    return MemoryGrants.isLarge(
        tokens, capacityTokens.applyAsLong(endpoint), endpoint.entry().slots());
  }

  /**
   * Returns the memory of an endpoint.
   *
   * @param endpoint the endpoint
   * @return number of tokens; 0 if it has no bound
   */
  public long capacity(Endpoint endpoint) {
    return capacityTokens.applyAsLong(endpoint);
  }

  /**
   * Returns whether a request fits beside twice the small ones that all VMs probably have at an
   * endpoint: those that begin before the VMs know of a request that exceeds the reserved memory
   * have room too.
   *
   * @param endpoint the endpoint
   * @param tokens size of the request
   * @param now current time, in ms
   * @return whether there is room for it if it is the only large one
   */
  public boolean hasRoomAlone(Endpoint endpoint, long tokens, long now) {
    Small s = small(endpoint, now);
    double others = s.heard() + s.unheard() + deviation(s, usualTokens());
    return tokens + 2 * others <= capacity(endpoint);
  }

  /**
   * Returns the endpoints that have room for a request, and counts the request for later margins.
   *
   * @param endpoints endpoints of one service that can serve it otherwise
   * @param work the request
   * @param expectedTokens tokens that other VMs will probably send to the endpoints, which no
   *     report shows yet
   * @param randomOf returns a random number from 0 to 1 for an endpoint
   * @param now current time, in ms
   * @return those with room; all if it needs no memory
   */
  public List<Endpoint> withRoom(
      List<Endpoint> endpoints,
      RequestWork work,
      double expectedTokens,
      ToDoubleFunction<Endpoint> randomOf,
      long now) {
    if (work.tokens() <= 0) {
      return endpoints;
    }
    if (endpoints.stream().anyMatch(e -> capacity(e) > 0 && !isLarge(e, work.tokens()))) {
      recordSize(work.tokens(), now);
    }
    List<Endpoint> open = new ArrayList<>(endpoints.size());
    for (Endpoint e : endpoints) {
      if (hasRoom(e, work, now)) {
        open.add(e);
      }
    }
    double expectedAtEach = expectedTokens / Math.max(1, open.size());
    open.removeIf(
        e ->
            !isLarge(e, work.tokens())
                && freeTokens(
                        e,
                        work,
                        expectedAtEach,
                        MIN_ARRIVALS_WEIGHT + randomOf.applyAsDouble(e),
                        now)
                    < 0);
    return open;
  }

  /**
   * Returns whether one of the endpoints may have no room for a request.
   *
   * @param endpoints the endpoints
   * @param work the request
   * @return whether one of them has a bound and the request needs memory
   */
  public boolean bounds(Collection<Endpoint> endpoints, RequestWork work) {
    return work.tokens() > 0 && endpoints.stream().anyMatch(e -> capacityTokens.applyAsLong(e) > 0);
  }

  /**
   * Returns whether a request fits beside those that all VMs probably have in progress at an
   * endpoint. It counts in full: the part of its prompt that the endpoint has cached may belong to
   * no other request in progress. For a large request, the holder of the endpoint decides; only one
   * that exceeds the reserved memory must find the endpoint nearly idle.
   *
   * @param endpoint the endpoint
   * @param work the request
   * @param now current time, in ms
   * @return whether there is room for it
   */
  public boolean hasRoom(Endpoint endpoint, RequestWork work, long now) {
    long capacity = capacity(endpoint);
    if (capacity <= 0 || work.tokens() <= 0) {
      return true;
    }
    if (isLarge(endpoint, work.tokens())) {
      return work.tokens() <= capacity * MemoryGrants.RESERVED_SHARE
          || hasRoomAlone(endpoint, work.tokens(), now);
    }
    return freeTokens(endpoint, work, 0, 0, now) >= 0;
  }

  /** Returns what would be left of the memory for small requests beside one and the margin. */
  private double freeTokens(
      Endpoint endpoint, RequestWork work, double expected, double weight, long now) {
    if (capacity(endpoint) <= 0) {
      return Double.MAX_VALUE;
    }
    double size = usualTokens();
    Small s = small(endpoint, now);
    double heardDeviation = MARGIN_DEVIATIONS * Math.sqrt(s.reported() * size);
    double allArriving = Math.max(0, expected - ENDED_SHARE * (s.reported() + s.unheard()));
    double heardArriving = Math.max(0, expected * s.heardShare() - ENDED_SHARE * s.reported());
    double ofAll = s.bound() - s.heard() - s.unheard() - deviation(s, size) - weight * allArriving;
    double ofHeard =
        s.heardShare() * s.bound() - s.heard() - heardDeviation - weight * heardArriving;
    return Math.max(ofAll, ofHeard) - work.tokens();
  }

  private Small small(Endpoint endpoint, long now) {
    double reported = activeRequests.peerTokens(endpoint.id(), now);
    double heard = activeRequests.ownTokens(endpoint.id()) + reported;
    double mean = heardMeans.computeIfAbsent(endpoint.id(), k -> new Mean()).update(heard, now);
    double bound = grants.smallTokens(endpoint.instance(), capacity(endpoint), now);
    double share = heardShare();
    return new Small(bound, heard, reported, mean * (1 / share - 1), share);
  }

  /** Returns the margin for what the other VMs have sent and what has ended since the reports. */
  private double deviation(Small s, double size) {
    // What is concluded from the mean of the VMs that are heard is uncertain by itself.
    double variance = s.reported() + s.unheard() * (1 + MEAN_VARIANCE_SHARE / s.heardShare());
    return MARGIN_DEVIATIONS * Math.sqrt(variance * size);
  }

  private double heardShare() {
    return Math.min(1, Math.max(MIN_HEARD_SHARE, fleet.heardShare()));
  }

  private void recordSize(long tokens, long now) {
    double kept = Math.pow(0.5, Math.max(0, now - sizesAtMs) / SIZE_HALF_LIFE_MS);
    sumOfTokens = sumOfTokens * kept + tokens;
    sumOfSquaredTokens = sumOfSquaredTokens * kept + (double) tokens * tokens;
    sizesAtMs = now;
  }

  /**
   * Returns the mean size of the requests, weighted by size: with it, the sum of many independent
   * requests varies as if all had this size. With the size of the largest one, half of the memory
   * seemed to be full with some forty requests of 700 tokens out of 210,000.
   */
  private double usualTokens() {
    return sumOfTokens > 0 ? sumOfSquaredTokens / sumOfTokens : 0;
  }
}
