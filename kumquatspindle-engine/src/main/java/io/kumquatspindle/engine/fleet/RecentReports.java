package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** What this VM has lately learned of the prompt caches of engines, for sending to its peers. */
final class RecentReports {
  private final Map<String, Entry> entries;

  /**
   * A use of a beginning, or an eviction if its length is 0.
   *
   * @param engine the engine
   * @param hash hash of the beginning, or key of the evicted part
   * @param tokens length of the beginning, in tokens
   * @param atMs time of the use or the eviction, in ms
   */
  record Entry(EnginePrefixes engine, long hash, long tokens, long atMs) {}

  /**
   * Creates an instance without entries.
   *
   * @param maxEntries maximum number of entries, of which the latest are kept
   */
  RecentReports(int maxEntries) {
    entries = new LruMap<>(maxEntries);
  }

  /** Adds an entry, or replaces the earlier one with the same hash. */
  void add(EnginePrefixes engine, long hash, long tokens, long atMs) {
    entries.put(engine.instance() + '/' + hash, new Entry(engine, hash, tokens, atMs));
  }

  /** Returns the entries since a time that are still valid, the latest first. */
  List<PromptCacheIndex.Report> since(long fromMs, Predicate<Entry> valid, long now) {
    entries.values().removeIf(e -> e.atMs() < fromMs || !valid.test(e));
    List<PromptCacheIndex.Report> reports = new ArrayList<>();
    for (Entry e : entries.values()) {
      reports.add(
          new PromptCacheIndex.Report(e.engine().instance(), e.hash(), e.tokens(), now - e.atMs()));
    }
    Collections.reverse(reports);
    return reports;
  }
}
