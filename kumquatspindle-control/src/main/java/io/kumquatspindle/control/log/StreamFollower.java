package io.kumquatspindle.control.log;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Reads one stream of the log for good, on a thread of its own. */
public final class StreamFollower implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_RECORDS = 500;
  private static final long MIN_RETRY_DELAY_MS = 100;
  private static final long MAX_RETRY_DELAY_MS = 2_000;
  // Re-reading at once would spin while the owner of the fold is behind.
  private static final long OWNER_BUSY_RETRY_DELAY_MS = 20;

  private final LogService log;
  private final StreamName stream;
  private final StreamListener listener;
  private final MonotonicClock clock;
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Creates a follower that does not read yet.
   *
   * @param log the log service
   * @param stream the stream
   * @param listener receives what is read
   * @param clock the monotonic clock
   */
  public StreamFollower(
      LogService log, StreamName stream, StreamListener listener, MonotonicClock clock) {
    this.log = log;
    this.stream = stream;
    this.listener = listener;
    this.clock = clock;
    this.thread = new Thread(this::run, "follow-" + stream.path());
    this.thread.setDaemon(true);
  }

  /** Starts to read. */
  public void start() {
    thread.start();
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  private void run() {
    long retryDelayMs = MIN_RETRY_DELAY_MS;
    while (!closed) {
      long requestedAtMs = clock.nowMs();
      ReadResult result = log.read(stream, listener.nextOffset(), MAX_RECORDS, LONG_POLL_TIMEOUT);
      if (closed) {
        return;
      }
      if (result instanceof ReadResult.Batch batch) {
        retryDelayMs = MIN_RETRY_DELAY_MS;
        deliver(batch, requestedAtMs);
      } else if (result instanceof ReadResult.Unavailable unavailable) {
        listener.onUnavailable(unavailable.reason());
        sleep(retryDelayMs);
        retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
      }
    }
  }

  private void deliver(ReadResult.Batch batch, long requestedAtMs) {
    while (!closed && !listener.onBatch(batch, requestedAtMs)) {
      logger.atFine().log("stream %s: owner is behind, offering the batch again", stream.path());
      sleep(OWNER_BUSY_RETRY_DELAY_MS);
    }
    if (listener.nextOffset() < batch.earliest()) {
      // Nothing can be applied before a snapshot closes the gap, and the log answers at once.
      sleep(MIN_RETRY_DELAY_MS);
    }
  }

  private void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
    }
  }
}
