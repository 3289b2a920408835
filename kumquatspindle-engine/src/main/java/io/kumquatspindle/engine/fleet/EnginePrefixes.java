package io.kumquatspindle.engine.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What is known of the prompt cache of one start of an engine. */
final class EnginePrefixes extends PrefixTable.Owner {
  /** Maximum number of parts whose eviction is remembered. */
  private static final int MAX_EVICTED_PARTS = 128;

  private final String id;
  private final long startedAtMs;

  /** When models and adapters were evicted, by the group of their hashes, in ms. */
  private final Map<Integer, Long> evictedMs = new HashMap<>();

  /** The models and adapters of own requests, by the group of their hashes. */
  private final Map<Integer, Artifact> used = new HashMap<>();

  /** When parts were evicted, as events of the engine tell, by the key of the part, in ms. */
  private final Map<Long, Long> evictedPartsMs =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_EVICTED_PARTS;
        }
      };

  private long clearedMs = Long.MIN_VALUE;
  private long memoryTokens = Long.MAX_VALUE;

  private record Artifact(String model, String adapter) {}

  EnginePrefixes(String id, long startedAtMs) {
    super(Hashes.of(id) + startedAtMs);
    this.id = id;
    this.startedAtMs = startedAtMs;
  }

  /**
   * Parses the identity of a start.
   *
   * @param instance value of {@link Endpoint#instance}
   * @return an instance without prompts, or empty if the text is malformed
   */
  static Optional<EnginePrefixes> parse(String instance) {
    int separator = instance.lastIndexOf('/');
    try {
      long startedAtMs = Long.parseLong(instance.substring(separator + 1));
      return separator <= 0
          ? Optional.empty()
          : Optional.of(new EnginePrefixes(instance.substring(0, separator), startedAtMs));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  String id() {
    return id;
  }

  long startedAtMs() {
    return startedAtMs;
  }

  String instance() {
    return id + "/" + startedAtMs;
  }

  /** Returns whether an endpoint is this start of this engine. */
  boolean isSame(Endpoint endpoint) {
    return endpoint.entry().startedAtMs() == startedAtMs && endpoint.id().equals(id);
  }

  /** Sets the memory for cached parts, in tokens; 0 if unknown. */
  void setMemory(long tokens) {
    memoryTokens = tokens > 0 ? tokens : Long.MAX_VALUE;
  }

  /** Returns whether the known parts exceed the memory of the engine. */
  boolean overfull() {
    return tokens() > memoryTokens;
  }

  void recordUse(String model, String adapter) {
    used.putIfAbsent(PromptPrefixes.group(model, adapter), new Artifact(model, adapter));
  }

  void recordEviction(int group, long now) {
    evictedMs.put(group, now);
  }

  /** Records that nothing is known of what the engine held before a time. */
  void recordClearing(long atMs) {
    clearedMs = Math.max(clearedMs, atMs);
  }

  void recordPartEviction(long key, long atMs) {
    Long knownMs = evictedPartsMs.remove(key);
    evictedPartsMs.put(key, knownMs == null ? atMs : Math.max(knownMs, atMs));
  }

  void recordPartCached(long key) {
    evictedPartsMs.remove(key);
  }

  /** Returns whether any of the first parts of a prompt may have been evicted since its use. */
  boolean anyEvictedSince(PromptPrefixes prompt, int lastPart, long usedMs) {
    if (usedMs <= clearedMs) {
      return true;
    }
    for (int i = 0; i <= lastPart && !evictedPartsMs.isEmpty(); i++) {
      if (usedMs <= evictedPartsMs.getOrDefault(prompt.key(i), Long.MIN_VALUE)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a use was before the model or the adapter was evicted. */
  boolean evictedSince(long hash, long usedMs) {
    if (usedMs <= clearedMs) {
      return true;
    }
    int group = PromptPrefixes.groupOf(hash);
    for (Map.Entry<Integer, Long> e : evictedMs.entrySet()) {
      if (usedMs <= e.getValue() && covers(e.getKey(), group)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the eviction of a model or adapter clears the prompts of a group. */
  static boolean covers(int evicted, int group) {
    boolean wholeModel = evicted == modelGroup(evicted);
    return wholeModel ? PromptPrefixes.sameModel(evicted, group) : evicted == group;
  }

  private static int modelGroup(int group) {
    return PromptPrefixes.withAdapter(group, "");
  }

  /** Forgets evictions that no report can precede any more. */
  void expireEvictions(long beforeMs) {
    evictedMs.values().removeIf(at -> at < beforeMs);
    evictedPartsMs.values().removeIf(at -> at < beforeMs);
  }

  /** Returns the groups of all models and adapters that the endpoint holds. */
  Set<Integer> heldGroups(Endpoint endpoint, long now) {
    Set<Integer> groups = new HashSet<>();
    for (String model : endpoint.models(now)) {
      groups.add(PromptPrefixes.group(model, ""));
    }
    endpoint
        .entry()
        .models()
        .forEach(m -> m.adapters().forEach(a -> addIfHeld(groups, endpoint, m.name(), a, now)));
    used.values().forEach(u -> addIfHeld(groups, endpoint, u.model(), u.adapter(), now));
    used.keySet().retainAll(groups);
    return groups;
  }

  private static void addIfHeld(
      Set<Integer> groups, Endpoint endpoint, String model, String adapter, long now) {
    if (endpoint.holds(model, adapter, now)) {
      groups.add(PromptPrefixes.group(model, adapter));
    }
  }
}
