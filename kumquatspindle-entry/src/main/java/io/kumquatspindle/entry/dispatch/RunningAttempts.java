package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.control.ConfigurationView;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks attempts in progress, and aborts those that stall or whose key was withdrawn. */
public final class RunningAttempts {
  /** Period of {@link #tick} in milliseconds. */
  public static final long TICK_MS = 250;

  /** Longest time to wait for the next event of a stream, in milliseconds. */
  static final long STALL_LIMIT_MS = 10_000;

  private final Set<RunningAttempt> attempts = ConcurrentHashMap.newKeySet();
  private final AtomicInteger runningRequests = new AtomicInteger();
  private final int capacity;
  private final ConfigurationView configuration;
  private final MonotonicClock clock;

  /**
   * Creates an empty set, which checks keys after each change of the configuration.
   *
   * @param capacity maximum number of requests that run at once
   * @param configuration configuration with the valid keys
   * @param clock the clock
   */
  public RunningAttempts(int capacity, ConfigurationView configuration, MonotonicClock clock) {
    this.capacity = capacity;
    this.configuration = configuration;
    this.clock = clock;
    configuration.onChange(this::abortWithdrawnKeys);
  }

  // Reserves a slot for a request until releaseSlot is called; returns false if none is free.
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
   * Aborts attempts whose endpoint stalls or whose key was withdrawn; called every {@link
   * #TICK_MS}.
   */
  public void tick() {
    long now = clock.nowMs();
    for (RunningAttempt a : attempts) {
      if (a.isStalled(now, STALL_LIMIT_MS)) {
        a.abort(AbortReason.STALLED);
      }
    }
    // Covers attempts that were added while a withdrawal was being applied and were thus not
    // checked.
    abortWithdrawnKeys();
  }

  /** Aborts all attempts because the program is shutting down. */
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
