package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.platform.StoreStatus;
import io.kumquatspindle.api.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Simulates the transfers of the weight store, which share its bandwidth. */
final class TransferScheduler {
  private static final double NANOS_PER_SECOND = 1e9;
  // Progress is computed in floating point; a smaller remainder counts as completed.
  private static final double NEGLIGIBLE_MB = 1e-6;

  private final StoreOptions options;
  private final TimerService timers;
  private final List<Transfer> running = new ArrayList<>();
  private double speedFactor = 1;
  private long lastNanos = System.nanoTime();
  private long nextStartNanos = System.nanoTime();
  private long started;
  private long timerNumber;

  TransferScheduler(StoreOptions options, TimerService timers) {
    this.options = options;
    this.timers = timers;
  }

  /** Starts a transfer as soon as the limit of loads per second allows. */
  synchronized void start(double megabytes, Runnable done) {
    long now = System.nanoTime();
    nextStartNanos = Math.max(nextStartNanos, now);
    Duration wait = Duration.ofNanos(nextStartNanos - now);
    nextStartNanos += (long) (NANOS_PER_SECOND / options.loadsPerSecond());
    if (wait.toMillis() == 0) {
      add(megabytes, done);
    } else {
      timers.after(wait, () -> add(megabytes, done));
    }
  }

  synchronized void setSpeedFactor(double factor) {
    advance();
    speedFactor = factor;
    schedule();
  }

  synchronized StoreStatus status() {
    return new StoreStatus(running.size(), speed(Math.max(1, running.size())));
  }

  synchronized long started() {
    return started;
  }

  private synchronized void add(double megabytes, Runnable done) {
    advance();
    started++;
    running.add(new Transfer(megabytes, done));
    schedule();
  }

  private double speed(int transfers) {
    double share = Math.min(1.0, (double) options.transfersAtOnce() / transfers);
    return options.megabytesPerSecond() * share * speedFactor;
  }

  private void advance() {
    long now = System.nanoTime();
    if (!running.isEmpty()) {
      double mb = speed(running.size()) * (now - lastNanos) / NANOS_PER_SECOND;
      running.forEach(t -> t.remainingMb -= mb);
    }
    lastNanos = now;
  }

  private void schedule() {
    long number = ++timerNumber; // Invalidates timers that were set earlier.
    running.stream()
        .mapToDouble(t -> t.remainingMb)
        .min()
        .ifPresent(
            remainingMb -> {
              double ms = 1000 * Math.max(0, remainingMb) / speed(running.size());
              timers.after(Duration.ofMillis((long) Math.ceil(ms)), () -> finish(number));
            });
  }

  private void finish(long number) {
    List<Runnable> done = new ArrayList<>();
    synchronized (this) {
      if (number != timerNumber) {
        return;
      }
      advance();
      for (Iterator<Transfer> i = running.iterator(); i.hasNext(); ) {
        Transfer t = i.next();
        if (t.remainingMb <= NEGLIGIBLE_MB) {
          i.remove();
          done.add(t.done);
        }
      }
      schedule();
    }
    done.forEach(Runnable::run);
  }

  private static final class Transfer {
    private final Runnable done;
    private double remainingMb;

    Transfer(double megabytes, Runnable done) {
      this.remainingMb = megabytes;
      this.done = done;
    }
  }
}
