package io.kumquatspindle.api.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A timer service with one thread of its own. */
public final class SystemTimerService implements TimerService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ScheduledThreadPoolExecutor executor;

  /**
   * Creates a timer service.
   *
   * @param threadName name of its thread
   */
  public SystemTimerService(String threadName) {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            r -> {
              Thread t = new Thread(r, threadName);
              t.setDaemon(true);
              return t;
            });
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public Subscription every(Duration period, Runnable listener) {
    long ms = period.toMillis();
    Future<?> f = executor.scheduleAtFixedRate(guard(listener), ms, ms, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public Subscription after(Duration delay, Runnable listener) {
    Future<?> f = executor.schedule(guard(listener), delay.toMillis(), TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  // An exception would silently end a periodic task of the executor.
  private static Runnable guard(Runnable listener) {
    return () -> {
      try {
        listener.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("timer listener failed");
      }
    };
  }
}
