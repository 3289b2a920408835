package io.kumquatspindle.standins.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A list that retains only its newest entries and counts all entries ever added.
 *
 * @param <T> type of the entries
 */
public final class BoundedHistory<T> {
  private final int limit;
  private final Deque<T> entries = new ArrayDeque<>();
  private long total;

  /**
   * Creates an empty history.
   *
   * @param limit maximum number of retained entries
   */
  public BoundedHistory(int limit) {
    this.limit = limit;
  }

  /**
   * Adds an entry, and removes the oldest if the limit is exceeded.
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
   * Returns the retained entries.
   *
   * @return the entries, oldest first
   */
  public synchronized List<T> entries() {
    return new ArrayList<>(entries);
  }

  /**
   * Returns the number of entries added since the last {@link #clear}.
   *
   * @return the number, including entries that were removed
   */
  public synchronized long total() {
    return total;
  }

  /** Removes all entries and resets the total. */
  public synchronized void clear() {
    entries.clear();
    total = 0;
  }
}
