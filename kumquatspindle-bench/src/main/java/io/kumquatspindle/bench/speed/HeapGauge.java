package io.kumquatspindle.bench.speed;

import io.kumquatspindle.bench.caller.Caller;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Samples the heap in use of a process from its metrics page. */
final class HeapGauge {
  private static final String NAME = "jvm_heap_used_bytes";
  private static final String AFTER_COLLECTION = "jvm_heap_after_gc_bytes";
  private static final long PERIOD_MS = 500;

  private final Caller caller;
  private final URI page;

  HeapGauge(Caller caller, URI admin) {
    this.caller = caller;
    this.page = admin.resolve("/metrics");
  }

  /** Samples until the returned sampling is ended. */
  Sampling start() {
    return new Sampling();
  }

  private String read() {
    try {
      return caller.get(page, Optional.empty()).body();
    } catch (IOException e) {
      return ""; // A missing sample is not worth failing the run.
    }
  }

  static OptionalLong parse(String page) {
    return parse(page, NAME);
  }

  private static OptionalLong parse(String page, String name) {
    return page.lines()
        .filter(l -> l.startsWith(name + " ") || l.startsWith(name + "{"))
        .mapToLong(l -> (long) Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
        .findFirst();
  }

  /**
   * Heap in use, in bytes.
   *
   * @param samples number of samples
   * @param min least heap in use, with garbage that has not been collected yet
   * @param max most heap in use, with such garbage
   * @param maxAfterCollection most heap that was left after a collection; 0 before the first one
   */
  record Heap(long samples, long min, long max, long maxAfterCollection) {}

  /** Samples that are being taken. */
  final class Sampling {
    private final List<Long> samples = new ArrayList<>();
    private long maxAfterCollection;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private Sampling() {
      timer.scheduleAtFixedRate(this::sample, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    Heap end() {
      timer.shutdown();
      synchronized (samples) {
        long min = samples.stream().mapToLong(Long::longValue).min().orElse(0);
        long max = samples.stream().mapToLong(Long::longValue).max().orElse(0);
        return new Heap(samples.size(), min, max, maxAfterCollection);
      }
    }

    private void sample() {
      String text = read();
      synchronized (samples) {
        parse(text).ifPresent(samples::add);
        long left = parse(text, AFTER_COLLECTION).orElse(0);
        maxAfterCollection = Math.max(maxAfterCollection, left);
      }
    }
  }
}
