package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Loads in progress at all endpoints, as reported by the VMs that own the endpoints. Needed for
 * bursts of rarely used models, whose loads take longer than planned because they share the weight
 * store: a load counts for as long as its owner confirms it, not for as long as it was expected to
 * take. Not thread-safe: confined to one owner thread.
 */
public final class ActiveLoads {
  /**
   * Time after its expected end when a load that nobody confirms is discarded, in ms: its owner may
   * have ended, or the message about its end may have been lost.
   */
  private static final long OVERDUE_GRACE_MS = 4_000;

  /**
   * Time by which a report may precede the end of the load before it, in ms: messages of a former
   * owner, or over a new connection, may overtake each other.
   */
  private static final long REORDERING_MS = 500;

  private final Map<String, Entry> byEndpoint = new HashMap<>();
  private final Map<String, Long> lastEndedMs = new HashMap<>();
  private final StoreLoadLimit storeLimit;

  /**
   * A load in progress.
   *
   * @param model name of the model
   * @param fromStore whether the weights are read from the weight store
   * @param untilMs expected end time, in ms
   */
  public record Load(String model, boolean fromStore, long untilMs) {}

  /**
   * A load of this VM's endpoints, as its owner reports it to the other VMs.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param fromStore whether the weights are read from the weight store
   * @param elapsedMs time since it started, in ms
   * @param expectedMs its expected duration without other loads, in ms
   */
  public record Report(
      String endpoint, String model, boolean fromStore, long elapsedMs, long expectedMs) {}

  /** A load, when it started and until when it counts unless it is confirmed again. */
  private static final class Entry {
    private final String model;
    private final long startMs;
    private final StoreLoadLimit.Observation observation;
    private boolean fromStore;
    private long expectedMs;
    private long knownUntilMs;
    private long ownUntilMs = Long.MIN_VALUE;

    private Entry(String model, long startMs, StoreLoadLimit.Observation observation) {
      this.model = model;
      this.startMs = startMs;
      this.observation = observation;
    }

    private long expectedEndMs() {
      return startMs + expectedMs;
    }
  }

  /**
   * Creates an instance without loads.
   *
   * @param storeLoadsAtOnce maximum number of concurrent loads from the weight store, however fast
   *     they are
   */
  public ActiveLoads(int storeLoadsAtOnce) {
    this.storeLimit = new StoreLoadLimit(storeLoadsAtOnce);
  }

  /**
   * Records that a load has started, or takes longer than it was expected to.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param fromStore whether the weights are read from the weight store
   * @param expectedMs expected duration from now, in ms
   * @param now current time, in ms
   */
  public void started(String endpoint, String model, boolean fromStore, long expectedMs, long now) {
    Entry e = entry(endpoint, model, now, now);
    e.fromStore = fromStore;
    e.expectedMs = now - e.startMs + expectedMs;
    e.knownUntilMs = Math.max(e.knownUntilMs, e.expectedEndMs() + OVERDUE_GRACE_MS);
    countStoreLoads(now);
  }

  /**
   * Records that the owner of an endpoint says that a load is still in progress.
   *
   * @param report the load
   * @param validMs time for which the load counts without another confirmation, in ms
   * @param now current time, in ms
   */
  public void confirmed(Report report, long validMs, long now) {
    long startMs = now - report.elapsedMs();
    if (startMs + REORDERING_MS < lastEndedMs.getOrDefault(report.endpoint(), Long.MIN_VALUE)) {
      return;
    }
    Entry e = entry(report.endpoint(), report.model(), startMs, now);
    e.fromStore = report.fromStore();
    e.expectedMs = report.expectedMs();
    e.knownUntilMs = Math.max(e.knownUntilMs, now + validMs);
    countStoreLoads(now);
    observe(e, now);
  }

  /**
   * Records that a load at an endpoint that this VM owns is still in progress.
   *
   * @param endpoint ID of the endpoint
   * @param validMs time for which the load counts without another confirmation, in ms
   * @param now current time, in ms
   */
  public void confirmedByOwner(String endpoint, long validMs, long now) {
    Entry e = byEndpoint.get(endpoint);
    if (e != null) {
      e.ownUntilMs = now + validMs;
      e.knownUntilMs = Math.max(e.knownUntilMs, e.ownUntilMs);
      observe(e, now);
    }
  }

  /** Compares the duration of a load that is known to be in progress with the expected one. */
  private void observe(Entry e, long now) {
    if (e.fromStore) {
      storeLimit.inProgress(e.observation, e.expectedMs, now);
    }
  }

  private Entry entry(String endpoint, String model, long startMs, long now) {
    Entry known = byEndpoint.get(endpoint);
    if (known != null && known.model.equals(model)) {
      return known;
    }
    Entry e = new Entry(model, startMs, storeLimit.observe(startMs, now));
    byEndpoint.put(endpoint, e);
    return e;
  }

  /**
   * Records the end of a load.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   * @return the load that has ended, with the time that it took, or empty if none was known
   */
  public Optional<Report> ended(String endpoint, long now) {
    Entry e = byEndpoint.remove(endpoint);
    lastEndedMs.put(endpoint, now);
    if (e == null) {
      return Optional.empty();
    }
    if (e.fromStore) {
      storeLimit.ended(e.observation, e.expectedMs, peers(e), now);
    }
    countStoreLoads(now);
    return Optional.of(report(endpoint, e, now));
  }

  /** Returns the number of loads from the weight store that began together with one. */
  private int peers(Entry e) {
    return (int)
        byEndpoint.values().stream()
            .filter(x -> x.fromStore && Math.abs(x.startMs - e.startMs) <= REORDERING_MS)
            .count();
  }

  private static Report report(String endpoint, Entry e, long now) {
    return new Report(endpoint, e.model, e.fromStore, now - e.startMs, e.expectedMs);
  }

  /**
   * Returns the loads at the endpoints that this VM owns, to be reported to the other VMs.
   *
   * @param now current time, in ms
   * @return the loads
   */
  public List<Report> ownReports(long now) {
    return byEndpoint.entrySet().stream()
        .filter(e -> now < e.getValue().ownUntilMs)
        .map(e -> report(e.getKey(), e.getValue(), now))
        .toList();
  }

  /**
   * Discards the loads of removed endpoints, so that they do not count against the load limit of
   * the weight store.
   *
   * @param known tests whether an endpoint exists, by its ID
   * @param now current time, in ms
   */
  public void retain(Predicate<String> known, long now) {
    byEndpoint.keySet().removeIf(known.negate());
    lastEndedMs.keySet().removeIf(known.negate());
    countStoreLoads(now);
  }

  /**
   * Discards the loads that nobody has confirmed in time.
   *
   * @param now current time, in ms
   * @return the loads
   */
  public List<Report> expire(long now) {
    List<Report> expired = new ArrayList<>();
    byEndpoint
        .entrySet()
        .removeIf(
            entry -> {
              boolean lapsed = now >= entry.getValue().knownUntilMs;
              if (lapsed) {
                expired.add(report(entry.getKey(), entry.getValue(), now));
              }
              return lapsed;
            });
    countStoreLoads(now);
    return expired;
  }

  /**
   * Returns the endpoints that are loading a model.
   *
   * @param model name of the model
   * @param deadlineMs latest end time of the loads to include, in ms, as expected without other
   *     loads: those would slow down a load that starts now as well
   * @param now current time, in ms
   * @return their IDs
   */
  public List<String> endpointsLoading(String model, long deadlineMs, long now) {
    return byEndpoint.entrySet().stream()
        .filter(e -> e.getValue().model.equals(model) && now < e.getValue().knownUntilMs)
        .filter(e -> e.getValue().expectedEndMs() <= deadlineMs)
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
        .filter(e -> now < e.knownUntilMs)
        .map(e -> new Load(e.model, e.fromStore, untilMs(e, now)));
  }

  /**
   * Returns the expected end of a load. One from the weight store is slowed down by the others; one
   * that is overdue is expected to take a quarter of its time so far again.
   */
  private long untilMs(Entry e, long now) {
    long elapsedMs = now - e.startMs;
    double slowdown = e.fromStore ? storeLimit.slowdown() : 1;
    long expectedEndMs = e.startMs + (long) (e.expectedMs * slowdown);
    return expectedEndMs > now ? expectedEndMs : now + elapsedMs / 4;
  }

  /**
   * Returns the number of loads in progress from the weight store.
   *
   * @param now current time, in ms
   * @return number of loads
   */
  public int storeLoadCount(long now) {
    return (int)
        byEndpoint.values().stream().filter(e -> e.fromStore && now < e.knownUntilMs).count();
  }

  /**
   * Returns the number of loads that the weight store serves at once at full speed, as far as the
   * durations of loads have shown it.
   *
   * @return number of loads, at least 1
   */
  public int storeLoadLimit() {
    return storeLimit.limit();
  }

  /**
   * Returns whether a load from the weight store may start. Models in high demand may use twice the
   * limit, so that their loads do not wait behind loads of models that a single caller requested.
   *
   * @param requestRate requests per second for the model
   * @param now current time, in ms
   * @return whether the number of loads in progress is below the limit
   */
  public boolean mayStartFromStore(double requestRate, long now) {
    int factor = requestRate >= ReplicaPolicy.HOT_PER_S ? 2 : 1;
    return storeLoadCount(now) < factor * storeLoadLimit();
  }

  private void countStoreLoads(long now) {
    storeLimit.setConcurrency(storeLoadCount(now), now);
  }
}
