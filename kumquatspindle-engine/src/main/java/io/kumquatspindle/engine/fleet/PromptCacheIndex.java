package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.PromptPart;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Tracks which beginnings of prompts the endpoints hold, from the requests that they have served.
 * Not thread-safe: confined to one owner thread.
 */
public final class PromptCacheIndex implements PromptCache {
  /** Maximum number of known beginnings, at most 64 bytes each. */
  static final int MAX_PREFIXES = 10_000;

  /**
   * Time after its last known use when a beginning counts as evicted, in ms. An engine evicts by
   * memory, of which a VM sees only the shared parts and those of its own requests. One that spends
   * a sixth of its time on reading new prompts, at some tens of tokens a ms, replaces a memory of
   * 200,000 tokens in about this time. A wrong assumption costs one reading of the prompt either
   * way.
   */
  static final long USE_VALID_MS = 30_000;

  /** Maximum number of beginnings in a digest, about 40 bytes each. */
  static final int MAX_REPORTS = 32;

  /** Maximum number of evictions in a digest, which events of engines have told. */
  static final int MAX_EVICTION_REPORTS = 16;

  /** Reported instead of the key of a part if nothing is known of the cache of an engine. */
  private static final long ALL_PARTS = 0;

  /**
   * Time for which an eviction is reported, in ms: with many VMs, a peer gets a digest every 1.2 s,
   * and one of them may be lost.
   */
  static final long EVICTION_REPORTED_MS = 2_500;

  /**
   * Smallest share of the prompt that a beginning is reported for. What other VMs could save with a
   * smaller one is less than the wait behind other requests that they can't estimate.
   */
  private static final double MIN_REPORTED_SHARE = 1.0 / 3;

  /**
   * Shortest reading time that a reported beginning saves, in ms. Less does not make a response
   * noticeably earlier, but with prompts of some hundred tokens all uses together made the digests
   * of a large fleet five times as long.
   */
  private static final double MIN_REPORTED_SAVING_MS = 10;

  private final boolean enabled;
  private final ToDoubleFunction<Endpoint> tokenMs;
  private final PrefixTable table;
  private final Map<String, EnginePrefixes> engines = new HashMap<>();
  private final RecentReports ownUses = new RecentReports(MAX_REPORTS);
  private final RecentReports ownEvictions = new RecentReports(MAX_EVICTION_REPORTS);
  private PromptPrefixes hashed = new PromptPrefixes("", "", List.of());
  private String hashedModel = "";
  private String hashedAdapter = "";
  private List<PromptPart> hashedPrompt = List.of();
  private boolean isolated;

  /**
   * A beginning of a prompt that an endpoint holds, or a part that it has evicted.
   *
   * @param endpoint identity of the endpoint and its start
   * @param prefixHash hash of the model, the adapter and the parts up to the last one that is held,
   *     or the key of the evicted part, or 0 for all parts
   * @param tokens length of the beginning, in tokens; 0 for an eviction
   * @param ageMs time since a request last used it or since its eviction, in ms
   */
  public record Report(String endpoint, long prefixHash, long tokens, long ageMs) {}

  /**
   * Creates an empty index.
   *
   * @param enabled whether anything is recorded; if not, the index remains empty
   * @param tokenMs returns the time that an endpoint takes to read a token, in ms
   */
  public PromptCacheIndex(boolean enabled, ToDoubleFunction<Endpoint> tokenMs) {
    this.tokenMs = tokenMs;
    this.enabled = enabled;
    this.table = new PrefixTable(enabled ? MAX_PREFIXES : 1);
  }

  /**
   * Hashes the beginnings of a prompt, or returns the result for the same prompt as in the last
   * call: a request is compared with all its candidates one after the other.
   */
  private PromptPrefixes prefixes(RequestWork work) {
    if (work.prompt() != hashedPrompt
        || !work.model().equals(hashedModel)
        || !work.adapter().equals(hashedAdapter)) {
      hashed = new PromptPrefixes(work.model(), work.adapter(), work.prompt());
      hashedPrompt = work.prompt();
      hashedModel = work.model();
      hashedAdapter = work.adapter();
    }
    return hashed;
  }

  @Override
  public long cachedTokens(Endpoint endpoint, RequestWork work, long now) {
    boolean unknown = isolated || work.prompt().isEmpty();
    EnginePrefixes engine = unknown ? null : engines.get(endpoint.id());
    if (engine == null || !engine.isSame(endpoint)) {
      return 0;
    }
    PromptPrefixes prefixes = prefixes(work);
    // A beginning was held as a whole when it was last used, so the longest one tells of all parts.
    for (int i = prefixes.count() - 1; i >= 0; i--) {
      int slot = table.find(engine, prefixes.hash(i));
      if (slot != PrefixTable.NONE
          && now - table.usedMs(slot) <= USE_VALID_MS
          && !engine.anyEvictedSince(prefixes, i, table.usedMs(slot))) {
        long tokens = prefixes.tokens(i);
        return work.promptTokens() > 0 ? Math.min(tokens, work.promptTokens()) : tokens;
      }
    }
    return 0;
  }

  /**
   * Sets whether this VM has peers and receives digests of none of them. Then nothing counts as
   * cached: this VM does not know how long requests wait at the endpoint that holds a popular
   * prompt, and could overload it together with the other VMs.
   *
   * @param silent whether no peer is heard
   */
  public void setIsolated(boolean silent) {
    isolated = silent;
  }

  /**
   * Records that an endpoint has read the prompt of a request of this VM.
   *
   * @param endpoint the endpoint
   * @param work the request
   * @param now current time, in ms
   */
  public void recordUse(Endpoint endpoint, RequestWork work, long now) {
    if (!enabled || work.model().isEmpty() || work.prompt().isEmpty()) {
      return;
    }
    EnginePrefixes engine = engine(endpoint);
    engine.recordUse(work.model(), work.adapter());
    PromptPrefixes prefixes = prefixes(work);
    // The shortest one last: a part must not be taken to be evicted before those that build on it.
    for (int i = prefixes.count() - 1; i >= 0; i--) {
      table.use(engine, prefixes.hash(i), prefixes.partTokens(i), prefixes.tokens(i), now);
      boolean shared = i < work.prompt().size() - 1 && prefixes.tokens(i) > 0;
      if (shared && worthReporting(prefixes.tokens(i), endpoint, work)) {
        ownUses.add(engine, prefixes.hash(i), prefixes.tokens(i), now);
      }
    }
    evictBeyondMemory(engine);
  }

  private boolean worthReporting(long tokens, Endpoint endpoint, RequestWork work) {
    return tokens >= MIN_REPORTED_SHARE * work.promptTokens()
        && tokens * tokenMs.applyAsDouble(endpoint) >= MIN_REPORTED_SAVING_MS;
  }

  private EnginePrefixes engine(Endpoint endpoint) {
    EnginePrefixes known = engines.get(endpoint.id());
    if (known != null && known.isSame(endpoint)) {
      return known;
    }
    EnginePrefixes started = new EnginePrefixes(endpoint.id(), endpoint.entry().startedAtMs());
    replace(known, started);
    return started;
  }

  private void replace(EnginePrefixes known, EnginePrefixes started) {
    if (known != null) {
      clear(known);
    }
    engines.put(started.id(), started);
  }

  private void clear(EnginePrefixes engine) {
    for (int slot = table.oldest(); slot != PrefixTable.NONE && engine.prefixes() > 0; ) {
      int newer = table.newerThan(slot);
      if (table.owner(slot) == engine) {
        table.remove(slot);
      }
      slot = newer;
    }
  }

  private void evictBeyondMemory(EnginePrefixes engine) {
    for (int slot = table.oldest(); slot != PrefixTable.NONE && engine.overfull(); ) {
      int newer = table.newerThan(slot);
      if (table.owner(slot) == engine) {
        table.remove(slot);
      }
      slot = newer;
    }
  }

  /**
   * Drops what an endpoint held for a model or an adapter, because it evicted it or does not hold
   * it. Reports of earlier uses are ignored from now on.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string for the model and all its adapters
   * @param now current time, in ms
   */
  public void recordEviction(Endpoint endpoint, String model, String adapter, long now) {
    if (!enabled) {
      return;
    }
    EnginePrefixes engine = engine(endpoint);
    int evicted = PromptPrefixes.group(model, adapter);
    engine.recordEviction(evicted, now);
    for (int slot = table.oldest(); slot != PrefixTable.NONE; ) {
      int newer = table.newerThan(slot);
      if (table.owner(slot) == engine
          && EnginePrefixes.covers(evicted, PromptPrefixes.groupOf(table.hash(slot)))) {
        table.remove(slot);
      }
      slot = newer;
    }
  }

  /**
   * Records that an endpoint has said that it evicted a part of prompts.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param part identifier of the part
   * @param now current time, in ms
   */
  public void recordPartEviction(Endpoint endpoint, String model, String part, long now) {
    if (enabled) {
      EnginePrefixes engine = engine(endpoint);
      long key = PromptPrefixes.partKey(model, part);
      engine.recordPartEviction(key, now);
      ownEvictions.add(engine, key, 0, now);
    }
  }

  /**
   * Records that an endpoint has said that it holds a part of prompts again.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param part identifier of the part
   */
  public void recordPartCached(Endpoint endpoint, String model, String part) {
    EnginePrefixes engine = engines.get(endpoint.id());
    if (engine != null && engine.isSame(endpoint)) {
      engine.recordPartCached(PromptPrefixes.partKey(model, part));
    }
  }

  /**
   * Records that nothing is known of what an endpoint held, because some of its events were lost.
   *
   * @param endpoint the endpoint
   * @param now current time, in ms
   */
  public void recordCacheUnknown(Endpoint endpoint, long now) {
    if (enabled) {
      EnginePrefixes engine = engine(endpoint);
      engine.recordClearing(now);
      ownEvictions.add(engine, ALL_PARTS, 0, now);
    }
  }

  /**
   * Drops what the endpoints can't hold any more: prompts of endpoints that are gone or have
   * restarted, of models and adapters that their entries no longer list, and prompts that have not
   * been used for long.
   *
   * @param endpoints the known endpoints
   * @param memoryTokens returns the memory of an endpoint for cached prompts, in tokens; 0 if
   *     unknown
   * @param now current time, in ms
   */
  public void reconcile(EndpointTable endpoints, ToLongFunction<Endpoint> memoryTokens, long now) {
    while (table.oldest() != PrefixTable.NONE
        && now - table.usedMs(table.oldest()) > USE_VALID_MS) {
      table.remove(table.oldest());
    }
    Map<PrefixTable.Owner, Set<Integer>> held = new HashMap<>();
    engines
        .values()
        .removeIf(
            engine -> {
              Optional<Endpoint> known = endpoints.find(engine.id()).filter(engine::isSame);
              engine.expireEvictions(now - USE_VALID_MS);
              known.ifPresent(e -> engine.setMemory(memoryTokens.applyAsLong(e)));
              held.put(engine, known.map(e -> engine.heldGroups(e, now)).orElse(Set.of()));
              return known.isEmpty();
            });
    for (int slot = table.oldest(); slot != PrefixTable.NONE; ) {
      int newer = table.newerThan(slot);
      Set<Integer> groups = held.getOrDefault(table.owner(slot), Set.of());
      if (!groups.contains(PromptPrefixes.groupOf(table.hash(slot)))) {
        table.remove(slot);
      }
      slot = newer;
    }
    engines.values().forEach(this::evictBeyondMemory);
  }

  /**
   * Returns the shared beginnings that requests of this VM have used since a time, and the latest
   * evictions, for sending to its peers.
   *
   * @param sinceMs time of the earliest use that the peers do not know, in ms
   * @param now current time, in ms
   * @return the beginnings, a bounded number, the most recently used one first
   */
  public List<Report> ownReports(long sinceMs, long now) {
    List<Report> reports =
        ownUses.since(sinceMs, u -> table.find(u.engine(), u.hash()) != PrefixTable.NONE, now);
    reports.addAll(ownEvictions.since(now - EVICTION_REPORTED_MS, e -> true, now));
    return reports;
  }

  /**
   * Adds the beginnings that a peer has reported.
   *
   * @param reports the beginnings
   * @param now current time, in ms
   */
  public void updateFromPeer(List<Report> reports, long now) {
    if (!enabled) {
      return;
    }
    for (Report r : reports) {
      boolean plausible = r.tokens() >= 0 && r.ageMs() >= 0 && r.ageMs() <= USE_VALID_MS;
      Optional<EnginePrefixes> engine = plausible ? reported(r.endpoint()) : Optional.empty();
      engine.ifPresent(e -> add(e, r, now - r.ageMs()));
    }
  }

  private void add(EnginePrefixes engine, Report report, long usedMs) {
    if (report.tokens() == 0 && report.prefixHash() == ALL_PARTS) {
      engine.recordClearing(usedMs);
    } else if (report.tokens() == 0) {
      engine.recordPartEviction(report.prefixHash(), usedMs);
    } else if (!engine.evictedSince(report.prefixHash(), usedMs)) {
      int tokens = PromptPrefixes.toLength(report.tokens());
      table.use(engine, report.prefixHash(), PrefixTable.UNKNOWN, tokens, usedMs);
      evictBeyondMemory(engine);
    }
  }

  /** Returns the engine of a report, or empty if the report is about an earlier start of it. */
  private Optional<EnginePrefixes> reported(String instance) {
    Optional<EnginePrefixes> parsed = EnginePrefixes.parse(instance);
    if (parsed.isEmpty()) {
      return parsed;
    }
    EnginePrefixes known = engines.get(parsed.get().id());
    if (known != null && known.startedAtMs() >= parsed.get().startedAtMs()) {
      return known.startedAtMs() == parsed.get().startedAtMs()
          ? Optional.of(known)
          : Optional.empty();
    }
    replace(known, parsed.get());
    return parsed;
  }

  /**
   * Returns the number of known beginnings.
   *
   * @return their number, of all endpoints
   */
  public int size() {
    return table.size();
  }
}
