package io.kumquatspindle.bench.slopes;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.time.SystemTimerService;
import io.kumquatspindle.bench.processes.Pause;
import io.kumquatspindle.bench.processes.SiteVm;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Runs one fleet of a given size under a fixed load and samples its metrics. */
final class RowRun {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double MS_PER_MINUTE = 60_000;
  private static final int HEAP_SAMPLES = 3;

  private final long settleMs;
  private final long sampleMs;

  RowRun(long settleSeconds, long sampleSeconds) {
    settleMs = settleSeconds * 1000;
    sampleMs = sampleSeconds * 1000;
  }

  RowResult run(Row row) throws IOException {
    try (Fleet fleet = Fleet.start(row, false);
        LoadDriver loads = new LoadDriver(fleet, row);
        SystemTimerService changes = new SystemTimerService("changes")) {
      if (row.changesPerMinute() > 0) {
        long period = Math.round(MS_PER_MINUTE / row.changesPerMinute());
        changes.every(Duration.ofMillis(period), () -> change(fleet));
      }
      Pause.of(Duration.ofMillis(settleMs));
      return sample(fleet, row);
    }
  }

  private static void change(Fleet fleet) {
    try {
      fleet.change();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("a change was not filed");
    }
  }

  private RowResult sample(Fleet fleet, Row row) throws IOException {
    List<SiteVm> vms = fleet.site().vms();
    Map<SiteVm, MetricsPage> before = fleet.pages(vms);
    Pause.of(Duration.ofMillis(sampleMs));
    Map<SiteVm, MetricsPage> after = fleet.pages(vms);
    Map<String, Double> sums = new TreeMap<>();
    double maxCpu = 0;
    for (SiteVm vm : vms) {
      Map<String, Double> one = after.get(vm).since(before.get(vm));
      one.forEach((name, v) -> sums.merge(name, v, Double::sum));
      maxCpu = Math.max(maxCpu, one.getOrDefault("process_cpu_seconds", 0.0));
    }
    Map<String, Double> means = new TreeMap<>();
    sums.forEach((name, v) -> means.put(name, v / vms.size()));
    means.put("process_cpu_seconds_of_busiest", maxCpu);
    double heap = 0;
    for (SiteVm vm : vms.subList(0, HEAP_SAMPLES)) {
      heap += fleet.liveHeap(vm) / HEAP_SAMPLES;
    }
    means.put("live_heap_bytes", heap);
    return new RowResult(row, means);
  }
}
