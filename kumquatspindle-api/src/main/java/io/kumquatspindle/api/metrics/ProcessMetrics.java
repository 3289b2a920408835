package io.kumquatspindle.api.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Registers gauges for the CPU time and memory use of this process. */
public final class ProcessMetrics {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long BYTES_PER_KB = 1024;
  private static final Path STATUS = Path.of("/proc/self/status");

  private ProcessMetrics() {}

  /**
   * Registers the gauges of the process.
   *
   * @param registry the registry for the gauges
   */
  public static void register(MetricRegistry registry) {
    OperatingSystemMXBean os = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    gauge(registry, "process_cpu_seconds", () -> os.getProcessCpuTime() / NANOS_PER_SECOND);
    gauge(registry, "process_resident_bytes", ProcessMetrics::residentBytes);
    gauge(registry, "jvm_heap_after_collection_bytes", ProcessMetrics::heapAfterCollection);
    gauge(
        registry,
        "jvm_non_heap_used_bytes",
        () -> ManagementFactory.getMemoryMXBean().getNonHeapMemoryUsage().getUsed());
    gauge(registry, "jvm_direct_bytes", ProcessMetrics::directBytes);
    gauge(registry, "jvm_threads", () -> ManagementFactory.getThreadMXBean().getThreadCount());
  }

  /**
   * Returns the times that this process has used since its start.
   *
   * @return times in ms: of all threads, of the calling thread, of the compiler and of the garbage
   *     collector
   */
  public static Map<String, LongSupplier> times() {
    OperatingSystemMXBean os = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return Map.of(
        "process_cpu_ms",
        () -> os.getProcessCpuTime() / NANOS_PER_MS,
        "loop_cpu_ms",
        () -> threads.getCurrentThreadCpuTime() / NANOS_PER_MS,
        "compiler_ms",
        ManagementFactory.getCompilationMXBean()::getTotalCompilationTime,
        "collector_ms",
        ProcessMetrics::collectorMs);
  }

  private static long collectorMs() {
    return ManagementFactory.getGarbageCollectorMXBeans().stream()
        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
        .sum();
  }

  /**
   * Registers the CPU time of the currently running threads by name. Trailing digits are stripped
   * from the names, so that the threads of a pool are counted together.
   *
   * @param registry the registry for the gauges
   */
  public static void registerThreads(MetricRegistry registry) {
    for (String name : cpuSecondsByThread().keySet()) {
      registry.gauge(
          MetricsText.name("thread_cpu_seconds", "thread", name),
          () -> (Gauge<Double>) () -> cpuSecondsByThread().getOrDefault(name, 0.0));
    }
  }

  private static Map<String, Double> cpuSecondsByThread() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    Map<String, Double> seconds = new TreeMap<>();
    for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
      long nanos = info == null ? -1 : threads.getThreadCpuTime(info.getThreadId());
      if (nanos >= 0) {
        String name = info.getThreadName().replaceAll("[-#0-9]+$", "");
        seconds.merge(name, nanos / NANOS_PER_SECOND, Double::sum);
      }
    }
    return seconds;
  }

  /**
   * Returns the heap in use after the last collection of each pool; 0 for pools not yet collected.
   */
  private static long heapAfterCollection() {
    long sum = 0;
    for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
      MemoryUsage usage = pool.getCollectionUsage();
      if (pool.getType() == MemoryType.HEAP && usage != null) {
        sum += usage.getUsed();
      }
    }
    return sum;
  }

  private static long directBytes() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(p -> p.getName().toLowerCase(Locale.ROOT).equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  private static long residentBytes() {
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(l -> l.startsWith("VmRSS:"))
          .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) * BYTES_PER_KB)
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0; // The file exists on Linux only.
    }
  }

  private static <T extends Number> void gauge(
      MetricRegistry registry, String name, Gauge<T> value) {
    registry.gauge(name, () -> value);
  }
}
