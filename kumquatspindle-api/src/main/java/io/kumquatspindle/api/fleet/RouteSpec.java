package io.kumquatspindle.api.fleet;

import java.util.List;

/**
 * Where requests of one host and path go.
 *
 * @param name name of the route
 * @param host host in lower case
 * @param prefix path prefix, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs longest time that a request is kept waiting, in ms
 * @param goalMs time within which an answer (a stream's first event) is on time, in ms
 * @param rank urgency, 0 is the highest
 * @param targets services with weights, never empty
 * @param attempts most endpoints that one request may be sent to
 * @param open whether no key is needed
 * @param resumable whether a stream may go on at another endpoint
 * @param gapGoalMs longest pause between a stream's events that is on time, in ms
 */
public record RouteSpec(
    String name,
    String host,
    String prefix,
    CallKind kind,
    long timeoutMs,
    long goalMs,
    int rank,
    List<Target> targets,
    int attempts,
    boolean open,
    boolean resumable,
    long gapGoalMs) {

  private static final long STREAM_PATIENCE_MS = 2_000;

  /** Copies the list. */
  public RouteSpec {
    targets = List.copyOf(targets);
  }

  /**
   * Tells whether a request may be sent to a second endpoint after it may have run.
   *
   * @return whether it may
   */
  public boolean repeatable() {
    return kind == CallKind.IDEMPOTENT;
  }

  /**
   * Returns how long a caller waits for the first byte before it goes away, as callers' usual
   * clients do: for streams two seconds, four goals or eight pauses, whichever is longest.
   *
   * @return time in ms; {@link Long#MAX_VALUE} if it waits until its deadline
   */
  public long patienceMs() {
    if (kind != CallKind.STREAM) {
      return Long.MAX_VALUE;
    }
    return Math.max(STREAM_PATIENCE_MS, Math.max(4 * goalMs, 8 * gapGoalMs));
  }

  /**
   * Picks a service by weight.
   *
   * @param random at least 0, less than 1
   * @return name of the service
   */
  public String pick(double random) {
    int total = targets.stream().mapToInt(Target::weight).sum();
    double point = random * total;
    for (Target t : targets) {
      point -= t.weight();
      if (point < 0) {
        return t.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }

  /**
   * A service of a route.
   *
   * @param service name of the service
   * @param weight share of the requests, relative to the other targets
   */
  public record Target(String service, int weight) {}
}
