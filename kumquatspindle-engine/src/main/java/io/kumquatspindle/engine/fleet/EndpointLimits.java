package io.kumquatspindle.engine.fleet;

import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Decides which requests may be sent to endpoints that state a limit for all VMs together. Handles
 * limits of less than one request a second over many VMs, and traffic that enters at any of them:
 * the VM that holds an endpoint gives out its whole limit, less the part of VMs that it cannot
 * reach. A VM that gets no answer from the holder uses a part of its equal share: the holder may be
 * giving out the whole limit to others, without knowing that a VM does not hear it. Not
 * thread-safe: confined to one owner thread.
 */
public final class EndpointLimits {
  private static final double MS_PER_SECOND = 1_000;

  /** Maximum number of endpoints; a fleet has about 600. */
  private static final int MAX_ENDPOINTS = 1_024;

  /**
   * Lowest rate, per second: an endpoint that accepts next to nothing still gets a request now and
   * then, by whose answer it can state another limit.
   */
  static final double MIN_RATE_PER_S = 0.1;

  /** Share of the limit that VMs use beside a holder that does not answer them. */
  private static final double UNHEARD_SHARE = 0.4;

  /**
   * Share of the limit of a cold endpoint that VMs use without its holder. It is bound in any one
   * second, in which VMs that decide alone may by chance send several times their mean.
   */
  private static final double COLD_UNHEARD_SHARE = 0.2;

  /**
   * Time in which a former holder may still give out permits of a cold endpoint, and its permits
   * may still be used, in ms: a cycle of digests of 1.2 s, and the longest wait of 1 s.
   */
  private static final long HANDOVER_MS = 2_200;

  /** Share of the limit of a cold endpoint that a new holder gives out within that time. */
  private static final double HANDOVER_SHARE = 0.3;

  private final Map<String, HeldLimit> shared = new LruMap<>(MAX_ENDPOINTS);
  private final Map<String, RequestSchedule> ownPart = new LruMap<>(MAX_ENDPOINTS);
  private final DoubleSupplier random;

  /** The schedule of an endpoint that this VM holds, and since when it has given out permits. */
  private record HeldLimit(RequestSchedule schedule, long sinceMs) {}

  /**
   * Creates an instance without limits.
   *
   * @param random returns random numbers from 0 to 1
   */
  public EndpointLimits(DoubleSupplier random) {
    this.random = random;
  }

  private static double ratePerS(Endpoint endpoint) {
    return Math.max(MIN_RATE_PER_S, endpoint.limitPerS().orElse(Double.MAX_VALUE));
  }

  /**
   * Decides about a request, at the VM that holds the endpoint.
   *
   * @param endpoint the endpoint
   * @param reachableShare share of the VMs that this VM reaches, more than 0, at most 1
   * @param maxWaitMs longest time for which the request can wait, in ms
   * @param now current time, in ms
   * @return the decision
   */
  public Permit reserve(Endpoint endpoint, double reachableShare, long maxWaitMs, long now) {
    double fullPerS = ratePerS(endpoint) * reachableShare;
    HeldLimit held =
        shared.computeIfAbsent(
            endpoint.instance(),
            k -> {
              double firstMs = now + MS_PER_SECOND / fullPerS;
              double firstPerS = fullPerS * heldShare(endpoint, now, now);
              return new HeldLimit(new RequestSchedule(firstPerS, firstMs, true), now);
            });
    double ratePerS = fullPerS * heldShare(endpoint, held.sinceMs(), now);
    held.schedule().setRate(ratePerS, now);
    return held.schedule().reserve(maxWaitMs, now);
  }

  private static double heldShare(Endpoint endpoint, long sinceMs, long now) {
    return endpoint.cold() && now - sinceMs < HANDOVER_MS ? HANDOVER_SHARE : 1;
  }

  /**
   * Counts a call of this VM itself, such as an order, at an endpoint that it holds. A cold
   * endpoint without a stated limit counts only requests.
   *
   * @param endpoint the endpoint
   * @param now current time, in ms
   */
  public void charge(Endpoint endpoint, long now) {
    HeldLimit held = shared.get(endpoint.instance());
    if (endpoint.statesLimit() && held != null) {
      held.schedule().charge(now);
    }
  }

  /**
   * Decides about a request without the holder of the endpoint. The VMs begin at random times, so
   * that together they keep to the limit from the start.
   *
   * @param endpoint the endpoint
   * @param holderKnown whether there is a holder, which others may reach
   * @param vms number of VMs, at least 1
   * @param maxWaitMs longest time for which the request can wait, in ms
   * @param now current time, in ms
   * @return the decision
   */
  public Permit reserveOwnPart(
      Endpoint endpoint, boolean holderKnown, int vms, long maxWaitMs, long now) {
    double warmShare = holderKnown ? UNHEARD_SHARE : 1;
    double ratePerS = ratePerS(endpoint) * (endpoint.cold() ? COLD_UNHEARD_SHARE : warmShare) / vms;
    RequestSchedule schedule =
        ownPart.computeIfAbsent(
            endpoint.instance(),
            k -> {
              double firstInMs = random.getAsDouble() * MS_PER_SECOND / ratePerS;
              return new RequestSchedule(ratePerS, now + firstInMs, false);
            });
    schedule.setRate(ratePerS, now);
    return schedule.reserve(maxWaitMs, now);
  }

  /**
   * Handles that another VM holds an endpoint, perhaps again.
   *
   * @param endpoint the endpoint
   */
  public void released(Endpoint endpoint) {
    shared.remove(endpoint.instance());
  }

  /**
   * Handles that the holder of an endpoint has answered.
   *
   * @param endpoint the endpoint
   */
  public void holderAnswered(Endpoint endpoint) {
    ownPart.remove(endpoint.instance());
  }
}
