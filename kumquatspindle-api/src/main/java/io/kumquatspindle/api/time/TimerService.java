package io.kumquatspindle.api.time;

import java.time.Duration;

/** Calls listeners periodically or after a delay. */
public interface TimerService extends AutoCloseable {

  /**
   * Calls a listener periodically. The listener must not block.
   *
   * @param period time between calls, also before the first
   * @param listener called on the timer thread
   * @return the subscription, which can be cancelled
   */
  Subscription every(Duration period, Runnable listener);

  /**
   * Calls a listener once after a delay. The listener must not block.
   *
   * @param delay time until the call
   * @param listener called on the timer thread
   * @return the subscription, which can be cancelled
   */
  Subscription after(Duration delay, Runnable listener);

  @Override
  void close();

  /** A subscription that can be cancelled. */
  interface Subscription {
    /** Cancels the subscription; a call in progress is not interrupted. */
    void cancel();
  }
}
