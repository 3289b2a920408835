package io.kumquatspindle.api.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A {@link TimerService} with a dedicated thread. */
public final class SystemTimerService implements TimerService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ScheduledThreadPoolExecutor executor;

  /**
   * Creates a timer service.
   *
   * @param threadName name of the thread
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
    Future<?> f =
        executor.scheduleAtFixedRate(logExceptions(listener), ms, ms, TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public Subscription after(Duration delay, Runnable listener) {
    Future<?> f =
        executor.schedule(logExceptions(listener), delay.toMillis(), TimeUnit.MILLISECONDS);
    return () -> f.cancel(false);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  // The executor silently cancels a periodic task that throws.
  private static Runnable logExceptions(Runnable listener) {
    return () -> {
      try {
        listener.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("timer listener threw an exception");
      }
    };
  }
}
