package io.kumquatspindle.bench.system;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** Concurrent callers, each with one request after another. */
final class Load implements AutoCloseable {
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Future<?>> callers = new ArrayList<>();
  private volatile boolean stopped;

  /** Starts callers that go on until {@link #end}. */
  Load start(int count, IntConsumer oneRequest) {
    for (int i = 0; i < count; i++) {
      int number = i;
      callers.add(
          threads.submit(
              () -> {
                while (!stopped) {
                  oneRequest.accept(number);
                }
              }));
    }
    return this;
  }

  /** Starts callers that send one request each. */
  Load once(int count, IntConsumer request) {
    for (int i = 0; i < count; i++) {
      int number = i;
      callers.add(threads.submit(() -> request.accept(number)));
    }
    return this;
  }

  /** Sends no new request and waits for the replies under way. */
  void end(Duration limit) throws Exception {
    stopped = true;
    for (Future<?> f : callers) {
      f.get(limit.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void close() {
    stopped = true;
    threads.shutdownNow();
  }
}
