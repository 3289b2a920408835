package io.kumquatspindle.engine.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that keeps the most recently used entries.
 *
 * @param <V> type of the values
 */
final class LruMap<V> extends LinkedHashMap<String, V> {
  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxSize;

  /**
   * Creates an empty map.
   *
   * @param maxSize maximum number of entries
   */
  LruMap(int maxSize) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maxSize = maxSize;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
    return size() > maxSize;
  }
}
