package io.kumquatspindle.bench.speed;

import io.kumquatspindle.bench.client.ChatClient;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Samples the heap usage of a process from its metrics page. */
final class HeapSampler {
  private static final String HEAP_USED = "jvm_heap_used_bytes";
  private static final String HEAP_AFTER_COLLECTION = "jvm_heap_after_gc_bytes";
  private static final long PERIOD_MS = 500;

  private final ChatClient client;
  private final URI metricsPage;

  HeapSampler(ChatClient client, URI admin) {
    this.client = client;
    this.metricsPage = admin.resolve("/metrics");
  }

  /** Starts sampling at a fixed rate; {@link Sampling#stop} ends it. */
  Sampling start() {
    return new Sampling();
  }

  private String readMetricsPage() {
    try {
      return client.get(metricsPage, Optional.empty()).body();
    } catch (IOException e) {
      return ""; // A missing sample does not invalidate the run.
    }
  }

  static OptionalLong parseHeapUsed(String page) {
    return parseMetric(page, HEAP_USED);
  }

  private static OptionalLong parseMetric(String page, String name) {
    return page.lines()
        .filter(l -> l.startsWith(name + " ") || l.startsWith(name + "{"))
        .mapToLong(l -> (long) Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
        .findFirst();
  }

  /**
   * Heap usage, in bytes.
   *
   * @param samples the number of samples
   * @param min the minimum usage, including uncollected garbage
   * @param max the maximum usage, including uncollected garbage
   * @param maxAfterCollection the maximum usage right after a garbage collection; 0 before the
   *     first collection
   */
  record Heap(long samples, long min, long max, long maxAfterCollection) {}

  /** Sampling in progress. */
  final class Sampling {
    private final List<Long> samples = new ArrayList<>();
    private long maxAfterCollection;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private Sampling() {
      timer.scheduleAtFixedRate(this::sample, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    Heap stop() {
      timer.shutdown();
      synchronized (samples) {
        long min = samples.stream().mapToLong(Long::longValue).min().orElse(0);
        long max = samples.stream().mapToLong(Long::longValue).max().orElse(0);
        return new Heap(samples.size(), min, max, maxAfterCollection);
      }
    }

    private void sample() {
      String text = readMetricsPage();
      synchronized (samples) {
        parseHeapUsed(text).ifPresent(samples::add);
        long afterCollection = parseMetric(text, HEAP_AFTER_COLLECTION).orElse(0);
        maxAfterCollection = Math.max(maxAfterCollection, afterCollection);
      }
    }
  }
}
