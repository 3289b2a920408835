package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ResponseHead;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What this VM believes of one endpoint: its latest entry, corrected by newer knowledge of single
 * models and by what this VM itself has sent. One owner thread.
 */
public final class Endpoint {
  /** Age after which a reported load says nothing; several reports come within it under load. */
  static final long LOAD_VALID_MS = 400;

  /** Time for which news of a model goes before the entry: entries lag by a heartbeat. */
  static final long NEWS_VALID_MS = 2_500;

  /** Weight of the newest outcome in the share of failures. */
  private static final double FAILURE_WEIGHT = 0.2;

  /** Half-life of the share of failures while the endpoint is not tried, in ms. */
  private static final double FAILURE_HALF_LIFE_MS = 4_000;

  /** Time for which an endpoint is avoided that accepted no connection, in ms. */
  private static final long UNREACHABLE_MS = 1_500;

  /** Doublings of that time, at most: to 12 s, the time in which the platform expects recovery. */
  private static final int MOST_DOUBLINGS = 3;

  private final Map<String, News> news = new HashMap<>();
  private final Consumer<String> changed;
  private final long hash;
  private EndpointEntry entry;
  private int inFlight;
  private Optional<ResponseHead.Load> load = Optional.empty();
  private long loadAtMs;
  private double failures;
  private long failuresAtMs;
  private long avoidUntilMs;
  private int unreachable;

  /**
   * Creates the belief of an endpoint.
   *
   * @param entry its entry
   * @param changed told the name of a model of which the endpoint may hold no longer what it held
   */
  Endpoint(EndpointEntry entry, Consumer<String> changed) {
    this.entry = entry;
    this.changed = changed;
    this.hash = Hashes.of(entry.id());
  }

  /** Returns a hash of the identity. */
  long hash() {
    return hash;
  }

  public EndpointEntry entry() {
    return entry;
  }

  void entry(EndpointEntry newer) {
    entry = newer;
  }

  public String id() {
    return entry.id();
  }

  public int inFlight() {
    return inFlight;
  }

  /** Counts a request that is being sent. */
  public void sent() {
    inFlight++;
  }

  /** Counts a request that has ended. */
  public void ended() {
    inFlight--;
  }

  /**
   * Takes the load that the endpoint stated in an answer.
   *
   * @param stated the load
   * @param now present time, in ms
   */
  public void load(ResponseHead.Load stated, long now) {
    load = Optional.of(stated);
    loadAtMs = now;
  }

  /**
   * Counts the outcome of a request.
   *
   * @param failed whether the endpoint failed it
   * @param now present time, in ms
   */
  public void outcome(boolean failed, long now) {
    unreachable = 0;
    failures = failureShare(now) * (1 - FAILURE_WEIGHT) + (failed ? FAILURE_WEIGHT : 0);
    failuresAtMs = now;
  }

  /**
   * Returns the recent share of failed requests.
   *
   * @param now present time, in ms
   * @return share, 0 to 1
   */
  public double failureShare(long now) {
    return failures * Math.pow(0.5, (now - failuresAtMs) / FAILURE_HALF_LIFE_MS);
  }

  /**
   * Keeps requests away for a time, as long as there are others.
   *
   * @param untilMs end of that time, in ms
   */
  public void avoid(long untilMs) {
    avoidUntilMs = Math.max(avoidUntilMs, untilMs);
  }

  /**
   * Notes that the endpoint accepted no connection, and avoids it for longer each time in a row.
   *
   * @param now present time, in ms
   */
  public void unreachable(long now) {
    avoid(now + (UNREACHABLE_MS << Math.min(unreachable, MOST_DOUBLINGS)));
    unreachable++;
  }

  /**
   * Tells whether requests should go elsewhere.
   *
   * @param now present time, in ms
   * @return whether it is avoided now
   */
  public boolean avoided(long now) {
    return now < avoidUntilMs;
  }

  /**
   * Takes newer knowledge of a model or an adapter.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or empty text for the model itself
   * @param held whether the endpoint holds it
   * @param now present time, in ms
   */
  public void news(String model, String adapter, boolean held, long now) {
    if (!held && adapter.isEmpty()) {
      news.keySet().removeIf(k -> k.startsWith(model + "/"));
    }
    news.values().removeIf(n -> now >= n.untilMs());
    news.put(key(model, adapter), new News(held, now + NEWS_VALID_MS));
    changed.accept(model);
  }

  /** Returns when the news of a model ends, in ms, or {@link Long#MAX_VALUE} if there is none. */
  long newsUntilMs(String model, long now) {
    News n = news.isEmpty() ? null : news.get(key(model, ""));
    return n == null || now >= n.untilMs() ? Long.MAX_VALUE : n.untilMs();
  }

  /**
   * Tells whether the endpoint holds a model, and the adapter if one is named.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param now present time, in ms
   * @return whether it is believed to hold it
   */
  public boolean holds(String model, String adapter, long now) {
    if (!heldNow(model, "", now)) {
      return false;
    }
    return adapter.isEmpty() || heldNow(model, adapter, now);
  }

  /**
   * Returns the models that the endpoint is believed to hold.
   *
   * @param now present time, in ms
   * @return names of models
   */
  public Set<String> models(long now) {
    Set<String> all = new HashSet<>();
    entry.models().forEach(m -> all.add(m.name()));
    for (String k : news.keySet()) {
      if (k.endsWith("/")) {
        all.add(k.substring(0, k.length() - 1));
      }
    }
    all.removeIf(m -> !heldNow(m, "", now));
    return all;
  }

  /**
   * Returns the share of its slots that is believed to be taken, more than 1 if requests wait.
   *
   * @param now present time, in ms
   * @return share of the slots
   */
  public double use(long now) {
    int slots = Math.max(1, entry.slots());
    double own = (double) inFlight / slots;
    if (load.isEmpty() || now - loadAtMs > LOAD_VALID_MS) {
      return own;
    }
    ResponseHead.Load l = load.get();
    return Math.max(own, (double) (l.running() + l.waiting()) / Math.max(1, l.slots()));
  }

  private boolean heldNow(String model, String adapter, long now) {
    News n = news.isEmpty() ? null : news.get(key(model, adapter));
    if (n != null && now < n.untilMs()) {
      return n.held();
    }
    for (LoadedModel m : entry.models()) {
      if (m.name().equals(model)) {
        return adapter.isEmpty() || m.adapters().contains(adapter);
      }
    }
    return false;
  }

  private static String key(String model, String adapter) {
    return model + "/" + adapter;
  }

  private record News(boolean held, long untilMs) {}
}
