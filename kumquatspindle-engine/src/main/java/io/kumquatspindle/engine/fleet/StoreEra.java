package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The era of the store, which rises each time the store has come back from an older copy of its
 * data. In a new era the store gives out offsets and generations again, so that those of different
 * eras cannot be compared, and what was written last in the previous era is lost.
 *
 * <p>This class is the only one that decides when a new era has begun; the parts that depend on
 * offsets, generations or written records subscribe to it. Not thread-safe: confined to one owner
 * thread.
 */
public final class StoreEra {
  /** Largest era; fencing numbers have no room for a larger one beside a generation. */
  public static final long MAX = (1L << 20) - 1;

  private final List<Listener> listeners = new ArrayList<>();
  private OptionalLong current = OptionalLong.empty();

  /** Is notified of new eras. */
  public interface Listener {
    /**
     * Handles that the store has come back from an older copy.
     *
     * @param era the new era
     * @param before the previous era
     */
    void onEraChanged(long era, long before);
  }

  /**
   * Adds a listener. Listeners are notified in the order in which they were added.
   *
   * @param listener is notified of each new era, but not of the first one that becomes known
   */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /**
   * Handles the era of something that was read from the store, by this VM or by another one. The
   * listeners are notified before this method returns, so that they see a new era before the data.
   * A store that names its first era after it has named none has begun a new one.
   *
   * @param era the era, 1 to {@link #MAX}; 0 if the store named none
   * @return whether this is the current era; data of an earlier one must not be used
   */
  public boolean observe(long era) {
    long before = current.orElse(era);
    if (current.isEmpty() || era > before) {
      current = OptionalLong.of(era);
    }
    if (era > before) {
      listeners.forEach(l -> l.onEraChanged(era, before));
    }
    return era == current.getAsLong();
  }

  /**
   * Returns the current era.
   *
   * @return the era; 0 while it is not known, or if the store has named none
   */
  public long current() {
    return current.orElse(0);
  }
}
