package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.control.ConfigurationView;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** All attempts in progress, for the checks that may end them. */
public final class RunningAttempts {
  /** Period of {@link #tick} in milliseconds. */
  public static final long TICK_MS = 250;

  /** The longest time between two bytes of a stream, in milliseconds. */
  static final long STALL_LIMIT_MS = 10_000;

  private final Set<RunningAttempt> attempts = ConcurrentHashMap.newKeySet();
  private final AtomicInteger runningRequests = new AtomicInteger();
  private final int capacity;
  private final ConfigurationView configuration;
  private final MonotonicClock clock;

  /**
   * Creates an empty set that follows the configuration.
   *
   * @param capacity the most requests that run at once
   * @param configuration tells which keys work
   * @param clock the clock
   */
  public RunningAttempts(int capacity, ConfigurationView configuration, MonotonicClock clock) {
    this.capacity = capacity;
    this.configuration = configuration;
    this.clock = clock;
    configuration.onChange(this::abortWithdrawnKeys);
  }

  // Takes a place for a request, which it gives back when it ends; false if all are taken.
  boolean tryAcquireSlot() {
    if (runningRequests.incrementAndGet() > capacity) {
      runningRequests.decrementAndGet();
      return false;
    }
    return true;
  }

  void releaseSlot() {
    runningRequests.decrementAndGet();
  }

  void add(RunningAttempt attempt) {
    attempts.add(attempt);
  }

  void remove(RunningAttempt attempt) {
    attempts.remove(attempt);
  }

  /**
   * Ends attempts whose endpoint stalls or whose key was withdrawn; call it each {@link #TICK_MS}.
   */
  public void tick() {
    long now = clock.nowMs();
    for (RunningAttempt a : attempts) {
      if (a.isStalled(now, STALL_LIMIT_MS)) {
        a.abort(AbortReason.STALLED);
      }
    }
    // An attempt that was added while a withdrawal was applied missed the check of that change.
    abortWithdrawnKeys();
  }

  /** Ends all attempts because the program stops. */
  public void abortAll() {
    attempts.forEach(a -> a.abort(AbortReason.SHUTDOWN));
  }

  private void abortWithdrawnKeys() {
    for (RunningAttempt a : attempts) {
      if (a.isRepeatable() && a.key().flatMap(configuration::keyError).isPresent()) {
        a.abort(AbortReason.KEY_WITHDRAWN);
      }
    }
  }
}
