package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Requests in progress at each endpoint, by model and adapter, over all VMs that are heard. Answers
 * evictions that would wait for running requests while the endpoint takes no other order.
 */
public final class RunningBoard {
  /** In place of an adapter's name: the model itself or any of its adapters. */
  private static final String ANY = "*";

  private final Map<String, Integer> own = new HashMap<>();
  private final Map<String, Told> peers = new HashMap<>();

  private final Map<String, Integer> told = new HashMap<>();
  private long lookedMs;

  private record Told(Set<String> keys, long untilMs) {}

  /**
   * Counts a request of this VM that begins.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   */
  public void begin(String endpoint, String model, String adapter) {
    own.merge(key(endpoint, model, adapter), 1, Integer::sum);
  }

  /**
   * Counts a request of this VM that has ended.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   */
  public void end(String endpoint, String model, String adapter) {
    own.computeIfPresent(key(endpoint, model, adapter), (k, n) -> n > 1 ? n - 1 : null);
  }

  /**
   * Returns the counts of this VM, for its peers.
   *
   * @return counts by endpoint, model and adapter
   */
  public Map<String, Integer> own() {
    return Map.copyOf(own);
  }

  /**
   * Takes the counts of a peer in place of its earlier ones.
   *
   * @param peer identity of the peer
   * @param counts counts by endpoint, model and adapter
   * @param untilMs when they say nothing any more, in ms
   */
  public void told(String peer, Map<String, Integer> counts, long untilMs) {
    Told before = peers.remove(peer);
    if (before != null) {
      before.keys().forEach(this::forget);
    }
    if (!counts.isEmpty()) {
      Set<String> keys = new HashSet<>(counts.keySet());
      counts.keySet().forEach(k -> keys.add(k.substring(0, k.lastIndexOf('/') + 1) + ANY));
      keys.forEach(k -> told.merge(k, 1, Integer::sum));
      peers.put(peer, new Told(keys, untilMs));
    }
  }

  private void forget(String key) {
    told.computeIfPresent(key, (k, n) -> n > 1 ? n - 1 : null);
  }

  private void forgetSilent(long now) {
    if (now == lookedMs) {
      return;
    }
    lookedMs = now;
    peers
        .values()
        .removeIf(
            t -> {
              boolean silent = now > t.untilMs();
              if (silent) {
                t.keys().forEach(this::forget);
              }
              return silent;
            });
  }

  /**
   * Tells whether requests for a model are in progress at an endpoint.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param now present time, in ms
   * @return whether there are any, for the model itself or one of its adapters
   */
  public boolean runs(String endpoint, String model, long now) {
    String start = key(endpoint, model, "");
    forgetSilent(now);
    return told.containsKey(start + ANY)
        || own.keySet().stream().anyMatch(k -> k.startsWith(start));
  }

  /**
   * Tells whether requests for an adapter are in progress at an endpoint.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter
   * @param now present time, in ms
   * @return whether there are any
   */
  public boolean runs(String endpoint, String model, String adapter, long now) {
    String k = key(endpoint, model, adapter);
    forgetSilent(now);
    return own.containsKey(k) || told.containsKey(k);
  }

  private static String key(String endpoint, String model, String adapter) {
    return endpoint + "|" + model + "/" + adapter;
  }
}
