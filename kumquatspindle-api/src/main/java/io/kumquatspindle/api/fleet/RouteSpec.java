package io.kumquatspindle.api.fleet;

import java.util.List;
import java.util.Set;

/**
 * A route from a host and path prefix to services.
 *
 * @param name name of the route
 * @param host host in lower case
 * @param prefix path prefix, which begins and ends with a slash
 * @param kind execution semantics of the calls
 * @param timeoutMs maximum time that a request is kept waiting, in ms
 * @param latencyTargetMs target time to the response, or to the first event of a stream, in ms
 * @param priority priority; 0 is the highest
 * @param targets weighted target services, never empty
 * @param maxAttempts maximum number of endpoints that a request is sent to
 * @param open whether requests need no key
 * @param resumable whether a stream may be resumed on another endpoint
 * @param gapTargetMs target for the maximum time between events of a stream, in ms
 * @param regionsAllowed regions to whose endpoints the requests may be sent; empty: all regions
 */
public record RouteSpec(
    String name,
    String host,
    String prefix,
    CallKind kind,
    long timeoutMs,
    long latencyTargetMs,
    int priority,
    List<Target> targets,
    int maxAttempts,
    boolean open,
    boolean resumable,
    long gapTargetMs,
    Set<String> regionsAllowed) {

  private static final long MIN_STREAM_CLIENT_TIMEOUT_MS = 2_000;

  /** Copies the collections. */
  public RouteSpec {
    targets = List.copyOf(targets);
    regionsAllowed = Set.copyOf(regionsAllowed);
  }

  /**
   * Returns whether a request may be retried on another endpoint after it may have been executed.
   *
   * @return true if it may
   */
  public boolean repeatable() {
    return kind == CallKind.IDEMPOTENT;
  }

  /**
   * Returns the time to first byte after which clients are expected to disconnect. Typical clients
   * wait for streams for the longest of 2 s, 4 times the latency target and 8 times the gap target.
   *
   * @return the time in ms; {@link Long#MAX_VALUE} if clients wait until their deadline
   */
  public long clientTimeoutMs() {
    if (kind != CallKind.STREAM) {
      return Long.MAX_VALUE;
    }
    return Math.max(MIN_STREAM_CLIENT_TIMEOUT_MS, Math.max(4 * latencyTargetMs, 8 * gapTargetMs));
  }

  /**
   * Selects a target service by weight.
   *
   * @param random a random number, at least 0 and less than 1
   * @return name of the service
   */
  public String selectService(double random) {
    int total = targets.stream().mapToInt(Target::weight).sum();
    double remaining = random * total;
    for (Target t : targets) {
      remaining -= t.weight();
      if (remaining < 0) {
        return t.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }

  /**
   * A target service of a route.
   *
   * @param service name of the service
   * @param weight relative share of the requests
   */
  public record Target(String service, int weight) {}
}
