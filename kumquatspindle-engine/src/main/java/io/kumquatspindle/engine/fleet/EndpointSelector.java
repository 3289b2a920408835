package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the endpoint for a request. Handles bursts, endpoints of different speed, prompts of very
 * different lengths, and slow or failing endpoints: selects the endpoint with the lowest expected
 * time to the first event, which is the wait behind the requests of all VMs and the time to read
 * what is not cached of the prompt, multiplied by how long work takes there. Keeps a session at the
 * endpoint that probably caches its prompt, ranks endpoints with recent failures last, and never
 * selects an engine whose memory the request might overfill.
 *
 * <p>Costs are in ms. Those that are no times are stated as a fraction of the time for which a
 * request occupies a slot, so that they weigh the same for short and long requests.
 */
public final class EndpointSelector {
  /**
   * Wait at an endpoint whose slots are all in use, as a fraction of the time for which each
   * request occupies its slot: engines run requests in batches, and each further one slows the
   * others.
   */
  private static final double SHARED_SLOTS_COST = 0.5;

  /** Cost of an endpoint in another failure domain: that of 20 % of its slots. */
  private static final double OTHER_DOMAIN_COST = 0.2 * SHARED_SLOTS_COST;

  /** Cost reduction for the endpoint that a session is pinned to: that of 25 % of its slots. */
  private static final double SESSION_AFFINITY_BONUS = 0.25 * SHARED_SLOTS_COST;

  /**
   * Share of the slots up to which requests are left out that are only assumed to have been sent:
   * while many slots are free, they would only move requests to other failure domains.
   */
  private static final double FREE_SHARE = 0.5;

  /** Cost of a failure rate of 1. */
  private static final double FAILURE_COST = 6;

  /** Cost of an avoided endpoint; exceeds the sum of all other costs. */
  private static final double AVOIDED_COST = 100;

  /**
   * Cost of an endpoint with a limit, which is left to requests that no other can serve; more than
   * that of a queue as long as the slots.
   */
  private static final double LIMITED_COST = 2;

  /** Breaks ties pseudo-randomly, by less than the cost of one slot of a large engine. */
  private static final double TIE_COST = 0.00125;

  private final String domain;
  private final ActiveRequests activeRequests;
  private final PromptCache promptCache;
  private final EndpointSpeeds speeds;
  private final WorkTimes workTimes;
  private final EndpointMemory memory;
  private final ExpectedArrivals arrivals;
  private final long salt;

  /**
   * What is expected of a request at an endpoint.
   *
   * @param factor how long work takes there, as a multiple of what is usual
   * @param waitMs wait behind the requests of all VMs, in ms
   */
  public record Estimate(double factor, double waitMs) {}

  /** A candidate and how much of the prompt it has cached. */
  private record Candidate(Endpoint endpoint, long cachedTokens) {}

  /**
   * Creates a selector that knows of no caches and no bounds of memory.
   *
   * @param domain failure domain of this VM
   * @param activeRequests requests in progress at the endpoints
   */
  public EndpointSelector(String domain, ActiveRequests activeRequests) {
    this(
        domain,
        activeRequests,
        PromptCache.NONE,
        new EndpointSpeeds(),
        new WorkTimes(),
        new EndpointMemory(
            activeRequests, e -> 0, ExpectedArrivals.Fleet.SINGLE, new MemoryGrants("")),
        new ExpectedArrivals(ExpectedArrivals.Fleet.SINGLE),
        0);
  }

  /**
   * Creates a selector.
   *
   * @param domain failure domain of this VM
   * @param activeRequests requests in progress at the endpoints
   * @param promptCache what the endpoints have cached
   * @param speeds how long work takes at the endpoints
   * @param workTimes how long requests take at an endpoint of usual speed
   * @param memory memory of the endpoints
   * @param arrivals what other VMs send that no report shows yet
   * @param salt a number that is different at each VM, for its random weights
   */
  public EndpointSelector(
      String domain,
      ActiveRequests activeRequests,
      PromptCache promptCache,
      EndpointSpeeds speeds,
      WorkTimes workTimes,
      EndpointMemory memory,
      ExpectedArrivals arrivals,
      long salt) {
    this.domain = domain;
    this.activeRequests = activeRequests;
    this.promptCache = promptCache;
    this.speeds = speeds;
    this.workTimes = workTimes;
    this.memory = memory;
    this.arrivals = arrivals;
    this.salt = salt;
  }

  /**
   * Selects an endpoint.
   *
   * @param candidates endpoints that can serve the request
   * @param excludedIds IDs of endpoints that were already tried
   * @param work the request
   * @param now current time, in ms
   * @return the endpoint, or empty if all are excluded or have no room for the request
   */
  public Optional<Endpoint> choose(
      Collection<Endpoint> candidates, Set<String> excludedIds, RequestWork work, long now) {
    List<Endpoint> untried =
        candidates.stream().filter(e -> !excludedIds.contains(e.id())).toList();
    if (untried.isEmpty()) {
      return Optional.empty();
    }
    List<Candidate> usable = new ArrayList<>(untried.size());
    boolean cached = false;
    // Large requests are counted by their grants, and say nothing about small ones.
    boolean large = untried.stream().anyMatch(e -> memory.isLarge(e, work.tokens()));
    ExpectedArrivals.Expected expected = arrivals.count(work, large ? 0 : work.tokens(), now);
    for (Endpoint e : memory.withRoom(untried, work, expected.tokens(), e -> random(e, now), now)) {
      long tokens = promptCache.cachedTokens(e, work, now);
      cached |= tokens > 0;
      usable.add(new Candidate(e, tokens));
    }
    // The hash stands in for the cache as long as nothing is known of it.
    String affinityId = cached ? "" : affinityEndpointId(candidates, work.sessionPart());
    // On average, half a cycle has passed since the reports.
    double unreported = expected.requests() / 2 / Math.max(1, usable.size());
    Endpoint best = null;
    double bestCost = 0;
    for (Candidate c : usable) {
      double cost = costMs(c, c.endpoint().id().equals(affinityId), work, unreported, now);
      if (best == null || cost < bestCost) {
        best = c.endpoint();
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns whether none was chosen only because all that were not tried lack memory.
   *
   * @param candidates endpoints that can serve the request
   * @param excludedIds IDs of endpoints that were already tried
   * @param work the request
   * @return whether there is an endpoint that was not tried
   */
  public boolean lacksMemory(
      Collection<Endpoint> candidates, Set<String> excludedIds, RequestWork work) {
    List<Endpoint> untried =
        candidates.stream().filter(e -> !excludedIds.contains(e.id())).toList();
    return memory.bounds(untried, work);
  }

  /**
   * Returns whether the memory of an endpoint has room for a request.
   *
   * @param endpoint the endpoint
   * @param work the request
   * @param now current time, in ms
   * @return whether there is room
   */
  public boolean hasRoom(Endpoint endpoint, RequestWork work, long now) {
    return memory.hasRoom(endpoint, work, now);
  }

  /**
   * Returns whether a request must not be sent to an endpoint without a grant of its memory.
   *
   * @param endpoint the endpoint
   * @param tokens size of the request
   * @return whether it is large there
   */
  public boolean needsGrant(Endpoint endpoint, long tokens) {
    return memory.isLarge(endpoint, tokens);
  }

  /**
   * Returns the tokens that a request adds to an endpoint's memory: its prompt, less what is
   * cached, and the longest possible response.
   *
   * @param endpoint the endpoint
   * @param work the request
   * @param now current time, in ms
   * @return number of tokens
   */
  public long addedTokens(Endpoint endpoint, RequestWork work, long now) {
    return uncachedTokens(work, promptCache.cachedTokens(endpoint, work, now))
        + work.maxOutputTokens();
  }

  /**
   * Returns what is expected of a request at an endpoint, by the reported counts as they are.
   *
   * @param endpoint the endpoint
   * @param now current time, in ms
   * @return the estimate
   */
  public Estimate estimate(Endpoint endpoint, long now) {
    double factor = speeds.factor(endpoint, now);
    double slotMs = workTimes.slotMs(endpoint.entry().service());
    return new Estimate(factor, factor * slotMs * waitInSlotTimes(endpoint, 1, 0, now));
  }

  private static long uncachedTokens(RequestWork work, long cachedTokens) {
    return Math.max(0, work.promptTokens() - Math.max(0, cachedTokens));
  }

  /** Returns a random number from 0 to 1, which is the same for all uses in one choice. */
  private double random(Endpoint e, long now) {
    return (Hashes.of(e.hash(), now ^ salt) & 0xffff) / 65_535.0;
  }

  private double costMs(
      Candidate c, boolean pinned, RequestWork work, double unreported, long now) {
    Endpoint e = c.endpoint();
    String service = e.entry().service();
    double slotMs = workTimes.slotMs(service);
    double random = random(e, now);
    double readMs = workTimes.tokenMs(service) * uncachedTokens(work, c.cachedTokens());
    double firstEventMs =
        speeds.factor(e, now) * (readMs + slotMs * waitInSlotTimes(e, random, unreported, now));
    double other = FAILURE_COST * e.failureRate(now) + TIE_COST * random;
    other += e.entry().domain().equals(domain) ? 0 : OTHER_DOMAIN_COST;
    other += e.limited() ? LIMITED_COST : 0;
    other += e.avoided(now) ? AVOIDED_COST : 0;
    other -= pinned ? SESSION_AFFINITY_BONUS : 0;
    return firstEventMs + slotMs * other;
  }

  /** Returns the expected wait as a multiple of the time for which a request occupies a slot. */
  private double waitInSlotTimes(Endpoint e, double peerWeight, double unreported, long now) {
    double used = utilization(e, peerWeight, unreported, now);
    double queued = Math.max(0, used - 1 + 1.0 / Math.max(1, e.entry().slots()));
    return SHARED_SLOTS_COST * Math.min(1, used) + queued;
  }

  /**
   * Returns the utilization of an endpoint by all VMs. An endpoint reports its load in responses
   * only, which a VM of a large fleet gets too seldom. The requests of other VMs, those reported
   * and those sent since, have a random weight: the reports are up to a cycle of digests old, and
   * with the same weight at each VM all would choose the same endpoint until the next reports.
   */
  private double utilization(Endpoint e, double peerWeight, double unreported, long now) {
    double slots = Math.max(1, e.entry().slots());
    double peerRequests = peerWeight * activeRequests.peerRequests(e.id(), now);
    double reported = Math.max((e.inFlight() + peerRequests) / slots, e.utilization(now));
    double assumed = peerWeight * unreported / slots;
    return reported + Math.max(0, Math.min(assumed, reported + assumed - FREE_SHARE));
  }

  private static String affinityEndpointId(Collection<Endpoint> candidates, String session) {
    if (session.isEmpty()) {
      return "";
    }
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
