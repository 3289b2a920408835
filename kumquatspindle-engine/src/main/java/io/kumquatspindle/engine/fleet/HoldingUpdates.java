package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Updates about what an endpoint holds that are more recent than its entry. An update ends with an
 * entry that was read so much later that it must know of the change, or after a maximum time.
 */
final class HoldingUpdates {
  /**
   * Time for which an update about an eviction takes precedence over the entry, which may lag by a
   * heartbeat.
   */
  static final long EVICTION_VALID_MS = 3_000;

  /**
   * Time for which an update about a load takes precedence over the entry, unless a later entry is
   * read: three heartbeats at least.
   */
  static final long LOAD_VALID_MS = 6_000;

  /**
   * Age of an update from which an entry that is read is known to be later, in ms: the heartbeat
   * interval of 1.2 s and the longest delay of a read, {@code NodeSettings.endpointsReadDelayMs}.
   */
  private static final long ENTRY_LAG_MS = 3_000;

  private final Map<String, Update> updates = new HashMap<>();

  private record Update(boolean held, long atMs, long untilMs) {}

  /** Adds an update about a model, or about an adapter if its name is not empty. */
  void add(String model, String adapter, boolean held, long now) {
    if (!held && adapter.isEmpty()) {
      updates.keySet().removeIf(k -> k.startsWith(model + "/"));
    }
    updates.values().removeIf(u -> now >= u.untilMs());
    long validMs = held ? LOAD_VALID_MS : EVICTION_VALID_MS;
    updates.put(key(model, adapter), new Update(held, now, now + validMs));
  }

  /**
   * Removes the updates that an entry which is read now must know of.
   *
   * @return names of their models
   */
  Set<String> removeKnownToEntry(long now) {
    Set<String> models = new HashSet<>();
    updates
        .entrySet()
        .removeIf(
            e -> {
              boolean known = now - e.getValue().atMs() >= ENTRY_LAG_MS;
              if (known) {
                models.add(e.getKey().substring(0, e.getKey().indexOf('/')));
              }
              return known;
            });
    return models;
  }

  /** Returns whether a model or adapter is held, or empty if there is no update about it. */
  Optional<Boolean> held(String model, String adapter, long now) {
    if (updates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.ofNullable(updates.get(key(model, adapter)))
        .filter(u -> now < u.untilMs())
        .map(Update::held);
  }

  /** Returns when the update about a model expires, or {@link Long#MAX_VALUE} if there is none. */
  long validUntilMs(String model, long now) {
    Update update = updates.get(key(model, ""));
    return update == null || now >= update.untilMs() ? Long.MAX_VALUE : update.untilMs();
  }

  /** Returns the names of all models about which there is an update. */
  Set<String> models() {
    Set<String> names = new HashSet<>();
    for (String k : updates.keySet()) {
      if (k.endsWith("/")) {
        names.add(k.substring(0, k.length() - 1));
      }
    }
    return names;
  }

  private static String key(String model, String adapter) {
    return model + "/" + adapter;
  }
}
