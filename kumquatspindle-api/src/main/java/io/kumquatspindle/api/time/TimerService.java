package io.kumquatspindle.api.time;

import java.time.Duration;

/** A timer that parts of a program subscribe to. */
public interface TimerService extends AutoCloseable {

  /**
   * Calls a listener again and again. The listener must not block.
   *
   * @param period time between calls
   * @param listener called on the timer's thread
   * @return ends the subscription
   */
  Subscription every(Duration period, Runnable listener);

  /**
   * Calls a listener once. The listener must not block.
   *
   * @param delay time until the call
   * @param listener called on the timer's thread
   * @return ends the subscription
   */
  Subscription after(Duration delay, Runnable listener);

  @Override
  void close();

  /** A subscription that can be ended. */
  interface Subscription {
    /** Ends the subscription; a call in progress completes. */
    void cancel();
  }
}
