package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Loads in progress at all endpoints, as their holders tell. One owner thread. */
public final class LoadBoard {
  /** Time past its expected end after which a load that was not heard of is forgotten, in ms. */
  private static final long OVERDUE_MS = 4_000;

  private final Map<String, Load> byEndpoint = new HashMap<>();
  private final Map<String, Long> endedMs = new HashMap<>();

  /**
   * A load in progress.
   *
   * @param model name of the model
   * @param fromStore whether it comes from the weight store
   * @param untilMs when it is expected to end, in ms
   */
  public record Load(String model, boolean fromStore, long untilMs) {}

  /**
   * Notes that a load has begun.
   *
   * @param endpoint identity of the endpoint
   * @param load the load
   */
  public void begin(String endpoint, Load load) {
    byEndpoint.put(endpoint, load);
  }

  /**
   * Notes that a load has ended.
   *
   * @param endpoint identity of the endpoint
   * @param now present time, in ms
   */
  public void end(String endpoint, long now) {
    byEndpoint.remove(endpoint);
    endedMs.put(endpoint, now);
  }

  /**
   * Forgets the loads of endpoints that are gone, so that they do not take the weight store's room.
   *
   * @param known tells whether an endpoint is there, by identity
   */
  public void retain(Predicate<String> known) {
    byEndpoint.keySet().removeIf(known.negate());
    endedMs.keySet().removeIf(known.negate());
  }

  /**
   * Returns the endpoints that are loading a model.
   *
   * @param model name of the model
   * @param byMs when the load has to be expected to end at the latest, in ms
   * @param now present time, in ms
   * @return their identities
   */
  public List<String> loading(String model, long byMs, long now) {
    return byEndpoint.entrySet().stream()
        .filter(e -> e.getValue().model().equals(model) && e.getValue().untilMs() <= byMs)
        .filter(e -> now < e.getValue().untilMs() + OVERDUE_MS)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns how long ago the last load ended.
   *
   * @param endpoint identity of the endpoint
   * @param now present time, in ms
   * @return age in ms; {@link Long#MAX_VALUE} if none is known
   */
  public long sinceLoadMs(String endpoint, long now) {
    Long at = endedMs.get(endpoint);
    return at == null ? Long.MAX_VALUE : now - at;
  }

  /**
   * Returns the load in progress at an endpoint.
   *
   * @param endpoint identity of the endpoint
   * @param now present time, in ms
   * @return the load, if there is one
   */
  public Optional<Load> at(String endpoint, long now) {
    return Optional.ofNullable(byEndpoint.get(endpoint))
        .filter(l -> now < l.untilMs() + OVERDUE_MS);
  }

  /**
   * Counts the loads from the weight store that are in progress.
   *
   * @param now present time, in ms
   * @return number of loads
   */
  public int fromStore(long now) {
    byEndpoint.values().removeIf(l -> now >= l.untilMs() + OVERDUE_MS);
    return (int) byEndpoint.values().stream().filter(Load::fromStore).count();
  }
}
