package io.kumquatspindle.bench.system;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** Runs concurrent callers, each of which sends one request at a time. */
final class LoadGenerator implements AutoCloseable {
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Future<?>> callers = new ArrayList<>();
  private volatile boolean stopped;

  /** Starts callers that send requests until {@link #stopAndAwait}. */
  LoadGenerator sendRepeatedly(int count, IntConsumer request) {
    for (int i = 0; i < count; i++) {
      int number = i;
      callers.add(
          threads.submit(
              () -> {
                while (!stopped) {
                  request.accept(number);
                }
              }));
    }
    return this;
  }

  /** Starts callers that send one request each. */
  LoadGenerator sendOnce(int count, IntConsumer request) {
    for (int i = 0; i < count; i++) {
      int number = i;
      callers.add(threads.submit(() -> request.accept(number)));
    }
    return this;
  }

  /** Stops sending requests and waits for the replies to those in progress. */
  void stopAndAwait(Duration timeout) throws Exception {
    stopped = true;
    for (Future<?> f : callers) {
      f.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void close() {
    stopped = true;
    threads.shutdownNow();
  }
}
