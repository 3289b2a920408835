package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.platform.WeightSource;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/**
 * Checkpoints in an engine's main memory and on its disk, which determine how long a load takes.
 */
final class CheckpointCache {
  private static final int MS_PER_SECOND = 1000;

  private final EngineOptions options;
  private final TimerService timers;
  private final AdapterLoadTracker adapterLoads;
  private final WeightSource store;
  private final Set<String> inMemory;
  private final Set<String> onDisk;

  CheckpointCache(
      EngineOptions options,
      TimerService timers,
      AdapterLoadTracker adapterLoads,
      WeightSource store) {
    this.options = options;
    this.timers = timers;
    this.adapterLoads = adapterLoads;
    this.store = store;
    this.inMemory = new TreeSet<>(options.inMemory());
    this.onDisk = new TreeSet<>(options.onDisk());
  }

  CompletableFuture<Void> loadAdapter() {
    return after(adapterLoads.begin()).whenComplete((v, e) -> adapterLoads.end());
  }

  CompletableFuture<Void> loadModel(String model, long mb) {
    double speed;
    synchronized (this) {
      if (inMemory.contains(model)) {
        speed = options.memoryMbPerSecond();
      } else if (onDisk.contains(model)) {
        speed = options.diskMbPerSecond();
      } else {
        return store.fetch(model, mb).thenRun(() -> addToDisk(model));
      }
    }
    return after(Duration.ofMillis((long) (MS_PER_SECOND * mb / speed)));
  }

  /** Simulates a restart: clears main memory, but not the disk. */
  synchronized void restart() {
    inMemory.clear();
  }

  synchronized List<String> names() {
    Set<String> all = new TreeSet<>(inMemory);
    all.addAll(onDisk);
    return List.copyOf(all);
  }

  private synchronized void addToDisk(String model) {
    onDisk.add(model);
  }

  private CompletableFuture<Void> after(Duration time) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    timers.after(time, () -> result.complete(null));
    return result;
  }
}
