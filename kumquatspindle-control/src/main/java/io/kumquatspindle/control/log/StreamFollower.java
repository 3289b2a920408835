package io.kumquatspindle.control.log;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Reads one stream of the log continuously, by long polling, on a dedicated thread. */
public final class StreamFollower implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_RECORDS = 500;
  private static final long MIN_RETRY_DELAY_MS = 100;
  private static final long MAX_RETRY_DELAY_MS = 2_000;
  // Without a delay the follower would busy-wait while the queue of the state's owner is full.
  private static final long OWNER_BUSY_RETRY_DELAY_MS = 20;

  private final LogService log;
  private final StreamName stream;
  private final StreamListener listener;
  private final MonotonicClock clock;
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Creates a follower; it does not read until {@link #start()} is called.
   *
   * @param log the log service
   * @param stream the stream
   * @param listener receives the records and read failures
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

  /** Starts the reading thread. */
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
      logger.atFine().log("stream %s: owner's queue is full, retrying the batch", stream.path());
      sleep(OWNER_BUSY_RETRY_DELAY_MS);
    }
    if (listener.nextOffset() < batch.earliest()) {
      // No record can be applied until a snapshot fills the gap. The log answers such reads
      // without waiting, so the follower has to wait itself.
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
