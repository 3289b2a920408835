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

/** Runs a fleet of a given size under a constant load and samples its metrics. */
final class FleetRun {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final double MS_PER_MINUTE = 60_000;
  private static final int HEAP_SAMPLES = 3;

  private final long settleMs;
  private final long sampleMs;

  FleetRun(long settleSeconds, long sampleSeconds) {
    settleMs = settleSeconds * 1000;
    sampleMs = sampleSeconds * 1000;
  }

  RunResult run(Row parameters) throws IOException {
    try (Fleet fleet = Fleet.start(parameters, false);
        LoadDriver loads = new LoadDriver(fleet, parameters);
        SystemTimerService changes = new SystemTimerService("changes")) {
      if (parameters.changesPerMinute() > 0) {
        long period = Math.round(MS_PER_MINUTE / parameters.changesPerMinute());
        changes.every(Duration.ofMillis(period), () -> change(fleet));
      }
      Pause.sleep(Duration.ofMillis(settleMs));
      return sample(fleet, parameters);
    }
  }

  private static void change(Fleet fleet) {
    try {
      fleet.fileChange();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot file a change ticket");
    }
  }

  private RunResult sample(Fleet fleet, Row parameters) throws IOException {
    List<SiteVm> vms = fleet.site().vms();
    Map<SiteVm, MetricsPage> before = fleet.metricsPages(vms);
    Pause.sleep(Duration.ofMillis(sampleMs));
    Map<SiteVm, MetricsPage> after = fleet.metricsPages(vms);
    Map<String, Double> sums = new TreeMap<>();
    double maxCpu = 0;
    for (SiteVm vm : vms) {
      Map<String, Double> metrics = after.get(vm).ratesSince(before.get(vm));
      metrics.forEach((name, v) -> sums.merge(name, v, Double::sum));
      maxCpu = Math.max(maxCpu, metrics.getOrDefault("process_cpu_seconds", 0.0));
    }
    Map<String, Double> means = new TreeMap<>();
    sums.forEach((name, v) -> means.put(name, v / vms.size()));
    means.put("process_cpu_seconds_of_busiest", maxCpu);
    double heap = 0;
    for (SiteVm vm : vms.subList(0, HEAP_SAMPLES)) {
      heap += fleet.liveHeap(vm) / HEAP_SAMPLES;
    }
    means.put("live_heap_bytes", heap);
    return new RunResult(parameters, means);
  }
}
