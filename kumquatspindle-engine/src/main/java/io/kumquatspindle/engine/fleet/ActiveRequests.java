package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Requests in progress at each endpoint, by model and adapter, across all reachable VMs. Used to
 * avoid evictions that would wait for running requests while the endpoint accepts no other order,
 * and to see how full an endpoint is to which this VM itself sends only now and then.
 */
public final class ActiveRequests {
  /** Placeholder for the adapter name that matches the model itself and any of its adapters. */
  private static final String ANY = "*";

  private final ActiveTokens tokens = new ActiveTokens();
  private final Map<String, Integer> ownCounts = new HashMap<>();
  private final Map<String, PeerCounts> peers = new HashMap<>();

  private final Map<String, Integer> peerCounts = new HashMap<>();

  /** Number of requests of the peers, by endpoint. */
  private final Map<String, Integer> peerRequests = new HashMap<>();

  private long lastExpiryMs;

  private record PeerCounts(Set<String> keys, Map<String, Integer> requests, long untilMs) {}

  /**
   * Records that a request of this VM has started.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   */
  public void started(String endpoint, String model, String adapter) {
    ownCounts.merge(key(endpoint, model, adapter), 1, Integer::sum);
  }

  /**
   * Records that a request of this VM has ended.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   */
  public void ended(String endpoint, String model, String adapter) {
    ownCounts.computeIfPresent(key(endpoint, model, adapter), (k, n) -> n > 1 ? n - 1 : null);
  }

  /**
   * Records that a request of this VM has started.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param requestTokens tokens that the request may need there; 0 if unknown
   */
  public void started(String endpoint, String model, String adapter, long requestTokens) {
    started(endpoint, model, adapter);
    tokens.started(endpoint, requestTokens);
  }

  /**
   * Records that a request of this VM has ended.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param requestTokens the number that was given when the request started
   */
  public void ended(String endpoint, String model, String adapter, long requestTokens) {
    ended(endpoint, model, adapter);
    tokens.ended(endpoint, requestTokens);
  }

  /**
   * Returns the counts of this VM, for sending to its peers.
   *
   * @return request counts by endpoint, model and adapter
   */
  public Map<String, Integer> ownCounts() {
    return Map.copyOf(ownCounts);
  }

  /**
   * Returns the tokens of the requests of this VM, for sending to its peers.
   *
   * @return tokens of prompts and of the longest possible responses, by endpoint ID
   */
  public Map<String, Long> ownTokens() {
    return tokens.own();
  }

  /**
   * Returns the tokens of the requests of this VM at an endpoint.
   *
   * @param endpoint ID of the endpoint
   * @return number of tokens
   */
  public long ownTokens(String endpoint) {
    return tokens.own(endpoint);
  }

  /**
   * Returns the tokens of the requests of the peers at an endpoint, as last reported.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   * @return number of tokens
   */
  public long peerTokens(String endpoint, long now) {
    return tokens.ofPeers(endpoint, now);
  }

  /**
   * Replaces the tokens reported by a peer.
   *
   * @param peer ID of the peer
   * @param reported tokens by endpoint ID
   * @param untilMs expiry time of the report, in ms
   */
  public void updateTokensFromPeer(String peer, Map<String, Long> reported, long untilMs) {
    tokens.updateFromPeer(peer, reported, untilMs);
  }

  /**
   * Replaces the counts reported by a peer.
   *
   * @param peer ID of the peer
   * @param counts request counts by endpoint, model and adapter
   * @param untilMs expiry time of the report, in ms
   */
  public void updateFromPeer(String peer, Map<String, Integer> counts, long untilMs) {
    PeerCounts previous = peers.remove(peer);
    if (previous != null) {
      remove(previous);
    }
    if (!counts.isEmpty()) {
      Set<String> keys = new HashSet<>(counts.keySet());
      counts.keySet().forEach(k -> keys.add(k.substring(0, k.lastIndexOf('/') + 1) + ANY));
      keys.forEach(k -> peerCounts.merge(k, 1, Integer::sum));
      Map<String, Integer> requests = new HashMap<>();
      counts.forEach(
          (k, n) -> requests.merge(k.substring(0, Math.max(0, k.indexOf('|'))), n, Integer::sum));
      requests.forEach((endpoint, n) -> peerRequests.merge(endpoint, n, Integer::sum));
      peers.put(peer, new PeerCounts(keys, requests, untilMs));
    }
  }

  private void remove(PeerCounts counts) {
    counts.keys().forEach(this::decrement);
    counts
        .requests()
        .forEach(
            (endpoint, n) ->
                peerRequests.computeIfPresent(endpoint, (e, sum) -> sum > n ? sum - n : null));
  }

  /**
   * Returns the number of requests of the peers at an endpoint, as last reported.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   * @return number of requests, without those of this VM
   */
  public int peerRequests(String endpoint, long now) {
    removeExpiredPeers(now);
    return peerRequests.getOrDefault(endpoint, 0);
  }

  private void decrement(String key) {
    peerCounts.computeIfPresent(key, (k, n) -> n > 1 ? n - 1 : null);
  }

  private void removeExpiredPeers(long now) {
    if (now == lastExpiryMs) {
      return;
    }
    lastExpiryMs = now;
    peers
        .values()
        .removeIf(
            counts -> {
              boolean expired = now > counts.untilMs();
              if (expired) {
                remove(counts);
              }
              return expired;
            });
  }

  /**
   * Returns whether requests for a model are in progress at an endpoint.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param now current time, in ms
   * @return whether there are any, for the model itself or one of its adapters
   */
  public boolean inProgress(String endpoint, String model, long now) {
    String prefix = key(endpoint, model, "");
    removeExpiredPeers(now);
    return peerCounts.containsKey(prefix + ANY)
        || ownCounts.keySet().stream().anyMatch(k -> k.startsWith(prefix));
  }

  /**
   * Returns whether requests for an adapter are in progress at an endpoint.
   *
   * @param endpoint ID of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter
   * @param now current time, in ms
   * @return whether there are any
   */
  public boolean inProgress(String endpoint, String model, String adapter, long now) {
    String k = key(endpoint, model, adapter);
    removeExpiredPeers(now);
    return ownCounts.containsKey(k) || peerCounts.containsKey(k);
  }

  private static String key(String endpoint, String model, String adapter) {
    return endpoint + "|" + model + "/" + adapter;
  }
}
