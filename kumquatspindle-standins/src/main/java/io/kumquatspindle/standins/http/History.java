package io.kumquatspindle.standins.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The newest entries of a growing list, and how many there were in all.
 *
 * @param <T> an entry
 */
public final class History<T> {
  private final int limit;
  private final Deque<T> entries = new ArrayDeque<>();
  private long total;

  /**
   * Creates an empty history.
   *
   * @param limit most entries kept
   */
  public History(int limit) {
    this.limit = limit;
  }

  /**
   * Adds an entry; the oldest is dropped when there are too many.
   *
   * @param entry the entry
   */
  public synchronized void add(T entry) {
    total++;
    entries.addLast(entry);
    if (entries.size() > limit) {
      entries.removeFirst();
    }
  }

  /**
   * Returns the kept entries.
   *
   * @return the entries, oldest first
   */
  public synchronized List<T> entries() {
    return new ArrayList<>(entries);
  }

  /**
   * Returns the number of entries ever added.
   *
   * @return the number, with entries that were dropped
   */
  public synchronized long total() {
    return total;
  }

  /** Forgets all entries and the total. */
  public synchronized void clear() {
    entries.clear();
    total = 0;
  }
}
