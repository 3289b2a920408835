package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Loads that are wanted at endpoints and have not begun, as the holders of the endpoints tell.
 * Answers many rare models asked for at many VMs at once: a VM that does not see the queues sends
 * them all to the same endpoint, or has one model loaded at two. One owner thread.
 */
public final class LoadQueues {
  /** Age after which a peer's queues say nothing, in ms; five digests. */
  private static final long VALID_MS = 1_000;

  private final Map<String, Map<String, Integer>> own = new HashMap<>();
  private final Map<String, Told> peers = new HashMap<>();

  private record Told(Map<String, Integer> loadMsByKey, long atMs) {}

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
   * @param known identities of the endpoints that are there
   */
  public void retain(Set<String> known) {
    own.keySet().retainAll(known);
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
   * @param now present time, in ms
   */
  public void told(String peer, Map<String, Integer> loadMsByKey, long now) {
    peers.put(peer, new Told(loadMsByKey, now));
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
    long ms = own.getOrDefault(endpoint, Map.of()).values().stream().mapToInt(i -> i).sum();
    String start = key(endpoint, "");
    for (Told t : peers.values()) {
      for (Map.Entry<String, Integer> e : t.loadMsByKey().entrySet()) {
        ms += e.getKey().startsWith(start) ? e.getValue() : 0;
      }
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
    String k = key(endpoint, model);
    return own.getOrDefault(endpoint, Map.of()).containsKey(model)
        || peers.values().stream().anyMatch(t -> t.loadMsByKey().containsKey(k));
  }

  private void forgetSilent(long now) {
    peers.values().removeIf(t -> now - t.atMs() > VALID_MS);
  }

  private static String key(String endpoint, String model) {
    return endpoint + "|" + model;
  }
}
