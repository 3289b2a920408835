package io.kumquatspindle.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Periodically reads the platform's services on a dedicated thread, since each read blocks. */
final class PlatformReader implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long READ_PERIOD_MS = 2_000;

  private final List<Runnable> reads;
  private final Thread thread;
  private volatile boolean closed;

  PlatformReader(Runnable... reads) {
    this.reads = List.of(reads);
    this.thread = new Thread(this::run, "platform");
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void run() {
    while (!closed) {
      reads.forEach(PlatformReader::runSafely);
      try {
        TimeUnit.MILLISECONDS.sleep(READ_PERIOD_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void runSafely(Runnable r) {
    try {
      r.run();
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("reading from the platform failed");
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
