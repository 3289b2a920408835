package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Queues of loads that were requested at endpoints and have not started, as reported by the VMs
 * that own the endpoints. Needed when many rarely used models are requested at many VMs
 * concurrently: a VM that does not know the queues would direct all loads to the same endpoint, or
 * have a model loaded at two endpoints. Not thread-safe: confined to one owner thread.
 */
public final class LoadQueues {
  private final Map<String, Map<String, Integer>> ownLoadMs = new HashMap<>();
  private final Map<String, PeerQueues> peers = new HashMap<>();

  /** Load time in ms, by endpoint, peer and model. */
  private final Map<String, Map<String, Map<String, Integer>>> peerLoadMs = new HashMap<>();

  private long lastExpiryMs;

  /** The endpoints for which a peer reported queued loads, and when the report expires. */
  private record PeerQueues(Set<String> endpoints, long untilMs) {}

  /**
   * Replaces the queue of an endpoint that this VM owns.
   *
   * @param endpoint ID of the endpoint
   * @param loadMsByModel load time of each requested model, in ms
   */
  public void updateOwnQueue(String endpoint, Map<String, Integer> loadMsByModel) {
    if (loadMsByModel.isEmpty()) {
      ownLoadMs.remove(endpoint);
    } else {
      ownLoadMs.put(endpoint, Map.copyOf(loadMsByModel));
    }
  }

  /**
   * Discards the queues of endpoints that are no longer owned.
   *
   * @param known tests whether an endpoint is owned by this VM, by its ID
   */
  public void retain(Predicate<String> known) {
    ownLoadMs.keySet().removeIf(known.negate());
  }

  /**
   * Returns the queues of the endpoints that this VM owns, for sending to its peers.
   *
   * @return load time in ms, by endpoint and model
   */
  public Map<String, Integer> ownQueues() {
    Map<String, Integer> all = new HashMap<>();
    ownLoadMs.forEach((e, models) -> models.forEach((m, ms) -> all.put(key(e, m), ms)));
    return all;
  }

  /**
   * Replaces the queues reported by a peer.
   *
   * @param peer ID of the peer
   * @param loadMsByKey load time in ms, by endpoint and model
   * @param untilMs expiry time of the report, in ms
   */
  public void updateFromPeer(String peer, Map<String, Integer> loadMsByKey, long untilMs) {
    removePeer(peer);
    if (loadMsByKey.isEmpty()) {
      return;
    }
    Set<String> endpoints = new HashSet<>();
    loadMsByKey.forEach(
        (key, ms) -> {
          int separator = Math.max(0, key.indexOf('|'));
          String endpoint = key.substring(0, separator);
          endpoints.add(endpoint);
          peerLoadMs
              .computeIfAbsent(endpoint, e -> new HashMap<>())
              .computeIfAbsent(peer, p -> new HashMap<>())
              .put(key.substring(separator + 1), ms);
        });
    peers.put(peer, new PeerQueues(endpoints, untilMs));
  }

  private void removePeer(String peer) {
    PeerQueues previous = peers.remove(peer);
    if (previous != null) {
      for (String endpoint : previous.endpoints()) {
        peerLoadMs.get(endpoint).remove(peer);
        peerLoadMs.computeIfPresent(endpoint, (e, byPeer) -> byPeer.isEmpty() ? null : byPeer);
      }
    }
  }

  /**
   * Returns the total duration of the loads queued at an endpoint.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   * @return time in ms, excluding a load in progress
   */
  public long backlogMs(String endpoint, long now) {
    removeExpiredPeers(now);
    long ms = sum(ownLoadMs.getOrDefault(endpoint, Map.of()));
    for (Map<String, Integer> byModel : peerLoadMs.getOrDefault(endpoint, Map.of()).values()) {
      ms += sum(byModel);
    }
    return ms;
  }

  /**
   * Returns whether the load of a model is queued at an endpoint.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param now current time, in ms
   * @return whether it is queued
   */
  public boolean queued(String endpoint, String model, long now) {
    removeExpiredPeers(now);
    return ownLoadMs.getOrDefault(endpoint, Map.of()).containsKey(model)
        || peerLoadMs.getOrDefault(endpoint, Map.of()).values().stream()
            .anyMatch(byModel -> byModel.containsKey(model));
  }

  private static long sum(Map<String, Integer> loadMsByModel) {
    return loadMsByModel.values().stream().mapToInt(i -> i).sum();
  }

  private void removeExpiredPeers(long now) {
    if (now != lastExpiryMs) {
      lastExpiryMs = now;
      List.copyOf(peers.entrySet()).stream()
          .filter(p -> now > p.getValue().untilMs())
          .forEach(p -> removePeer(p.getKey()));
    }
  }

  private static String key(String endpoint, String model) {
    return endpoint + "|" + model;
  }
}
