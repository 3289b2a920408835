package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Loads that are wanted at endpoints and have not begun, as the holders of the endpoints tell.
 * Answers many rare models asked for at many VMs at once: a VM that does not see the queues sends
 * them all to the same endpoint, or has one model loaded at two. One owner thread.
 */
public final class LoadQueues {
  private final Map<String, Map<String, Integer>> own = new HashMap<>();
  private final Map<String, Told> peers = new HashMap<>();

  /** Time to load in ms, by endpoint, peer and model. */
  private final Map<String, Map<String, Map<String, Integer>>> told = new HashMap<>();

  private long lookedMs;

  /** At which endpoints a peer told of loads, and until when that is valid. */
  private record Told(Set<String> endpoints, long untilMs) {}

  /**
   * Takes the queue of an endpoint that this VM holds in place of the earlier one.
   *
   * @param endpoint identity of the endpoint
   * @param loadMsByModel time to load each wanted model, in ms
   */
  public void own(String endpoint, Map<String, Integer> loadMsByModel) {
    if (loadMsByModel.isEmpty()) {
      own.remove(endpoint);
    } else {
      own.put(endpoint, Map.copyOf(loadMsByModel));
    }
  }

  /**
   * Forgets the queues of endpoints that are gone.
   *
   * @param known tells whether an endpoint is there, by identity
   */
  public void retain(Predicate<String> known) {
    own.keySet().removeIf(known.negate());
  }

  /**
   * Returns the queues that this VM holds, for its peers.
   *
   * @return time to load in ms, by endpoint and model
   */
  public Map<String, Integer> own() {
    Map<String, Integer> all = new HashMap<>();
    own.forEach((e, models) -> models.forEach((m, ms) -> all.put(key(e, m), ms)));
    return all;
  }

  /**
   * Takes the queues that a peer holds in place of its earlier ones.
   *
   * @param peer identity of the peer
   * @param loadMsByKey time to load in ms, by endpoint and model
   * @param untilMs when they say nothing any more, in ms
   */
  public void told(String peer, Map<String, Integer> loadMsByKey, long untilMs) {
    forget(peer);
    if (loadMsByKey.isEmpty()) {
      return;
    }
    Set<String> endpoints = new HashSet<>();
    loadMsByKey.forEach(
        (key, ms) -> {
          int bar = Math.max(0, key.indexOf('|'));
          String endpoint = key.substring(0, bar);
          endpoints.add(endpoint);
          told.computeIfAbsent(endpoint, e -> new HashMap<>())
              .computeIfAbsent(peer, p -> new HashMap<>())
              .put(key.substring(bar + 1), ms);
        });
    peers.put(peer, new Told(endpoints, untilMs));
  }

  private void forget(String peer) {
    Told before = peers.remove(peer);
    if (before != null) {
      for (String endpoint : before.endpoints()) {
        told.get(endpoint).remove(peer);
        told.computeIfPresent(endpoint, (e, byPeer) -> byPeer.isEmpty() ? null : byPeer);
      }
    }
  }

  /**
   * Returns how long the loads that wait at an endpoint take together.
   *
   * @param endpoint identity of the endpoint
   * @param now present time, in ms
   * @return time in ms, without a load in progress
   */
  public long backlogMs(String endpoint, long now) {
    forgetSilent(now);
    long ms = sum(own.getOrDefault(endpoint, Map.of()));
    for (Map<String, Integer> byModel : told.getOrDefault(endpoint, Map.of()).values()) {
      ms += sum(byModel);
    }
    return ms;
  }

  /**
   * Tells whether a model waits to be loaded at an endpoint.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param now present time, in ms
   * @return whether it does
   */
  public boolean queued(String endpoint, String model, long now) {
    forgetSilent(now);
    return own.getOrDefault(endpoint, Map.of()).containsKey(model)
        || told.getOrDefault(endpoint, Map.of()).values().stream()
            .anyMatch(byModel -> byModel.containsKey(model));
  }

  private static long sum(Map<String, Integer> loadMsByModel) {
    return loadMsByModel.values().stream().mapToInt(i -> i).sum();
  }

  private void forgetSilent(long now) {
    if (now != lookedMs) {
      lookedMs = now;
      List.copyOf(peers.entrySet()).stream()
          .filter(p -> now > p.getValue().untilMs())
          .forEach(p -> forget(p.getKey()));
    }
  }

  private static String key(String endpoint, String model) {
    return endpoint + "|" + model;
  }
}
