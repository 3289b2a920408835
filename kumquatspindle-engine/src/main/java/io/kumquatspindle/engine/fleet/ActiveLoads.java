package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Loads in progress at all endpoints, as reported by the VMs that own the endpoints. Not
 * thread-safe: confined to one owner thread.
 */
public final class ActiveLoads {
  /** Time after its expected end when a load without further reports is discarded, in ms. */
  private static final long OVERDUE_GRACE_MS = 4_000;

  private final Map<String, Load> byEndpoint = new HashMap<>();
  private final Map<String, Long> lastEndedMs = new HashMap<>();

  /**
   * A load in progress.
   *
   * @param model name of the model
   * @param fromStore whether the weights are read from the weight store
   * @param untilMs expected end time, in ms
   */
  public record Load(String model, boolean fromStore, long untilMs) {}

  /**
   * Records the start of a load.
   *
   * @param endpoint ID of the endpoint
   * @param load the load
   */
  public void started(String endpoint, Load load) {
    byEndpoint.put(endpoint, load);
  }

  /**
   * Records the end of a load.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   */
  public void ended(String endpoint, long now) {
    byEndpoint.remove(endpoint);
    lastEndedMs.put(endpoint, now);
  }

  /**
   * Discards the loads of removed endpoints, so that they do not count against the load limit of
   * the weight store.
   *
   * @param known tests whether an endpoint exists, by its ID
   */
  public void retain(Predicate<String> known) {
    byEndpoint.keySet().removeIf(known.negate());
    lastEndedMs.keySet().removeIf(known.negate());
  }

  /**
   * Returns the endpoints that are loading a model.
   *
   * @param model name of the model
   * @param deadlineMs latest expected end time of the loads to include, in ms
   * @param now current time, in ms
   * @return their IDs
   */
  public List<String> endpointsLoading(String model, long deadlineMs, long now) {
    return byEndpoint.entrySet().stream()
        .filter(e -> e.getValue().model().equals(model) && e.getValue().untilMs() <= deadlineMs)
        .filter(e -> now < e.getValue().untilMs() + OVERDUE_GRACE_MS)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the time since the last load at an endpoint ended.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   * @return time in ms, or {@link Long#MAX_VALUE} if no load is known
   */
  public long sinceLastLoadMs(String endpoint, long now) {
    Long at = lastEndedMs.get(endpoint);
    return at == null ? Long.MAX_VALUE : now - at;
  }

  /**
   * Returns the load in progress at an endpoint.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   * @return the load, or empty if there is none
   */
  public Optional<Load> loadAt(String endpoint, long now) {
    return Optional.ofNullable(byEndpoint.get(endpoint))
        .filter(l -> now < l.untilMs() + OVERDUE_GRACE_MS);
  }

  /**
   * Returns the number of loads in progress from the weight store.
   *
   * @param now current time, in ms
   * @return number of loads
   */
  public int storeLoadCount(long now) {
    byEndpoint.values().removeIf(l -> now >= l.untilMs() + OVERDUE_GRACE_MS);
    return (int) byEndpoint.values().stream().filter(Load::fromStore).count();
  }
}
