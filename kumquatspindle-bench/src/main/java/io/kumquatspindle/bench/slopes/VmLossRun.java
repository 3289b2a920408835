package io.kumquatspindle.bench.slopes;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.ListedVm;
import io.kumquatspindle.bench.processes.Pause;
import io.kumquatspindle.bench.processes.SiteVm;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Measures the load on the remaining VMs when one VM or a whole failure domain is lost. */
final class VmLossRun {
  private static final long SETTLE_MS = 6_000;

  private final long sampleMs;

  VmLossRun(long sampleSeconds) {
    sampleMs = sampleSeconds * 1000;
  }

  /**
   * Mean load of the remaining VMs.
   *
   * @param lost what was lost
   * @param phase the phase of the measurement
   * @param corePercent the CPU usage, in percent of a core
   * @param peerBytesOut the bytes per second sent to other controls
   * @param logBytesIn the bytes per second received from the log service
   * @param appendsPerSecond the appends per second of all remaining VMs together
   */
  record Result(
      String lost,
      String phase,
      double corePercent,
      double peerBytesOut,
      double logBytesIn,
      double appendsPerSecond) {}

  List<Result> measure(Row parameters) throws IOException {
    List<Result> results = new ArrayList<>();
    results.addAll(measureLoss(parameters, "one VM", false));
    results.addAll(measureLoss(parameters, "a failure domain", true));
    return results;
  }

  private List<Result> measureLoss(Row parameters, String label, boolean wholeDomain)
      throws IOException {
    try (Fleet fleet = Fleet.start(parameters, false);
        LoadDriver loads = new LoadDriver(fleet, parameters)) {
      List<SiteVm> all = fleet.site().vms();
      SiteVm lostVm = all.get(all.size() - 1);
      List<SiteVm> lost =
          all.stream()
              .filter(v -> v == lostVm || (wholeDomain && v.domain().equals(lostVm.domain())))
              .toList();
      List<SiteVm> remaining = all.stream().filter(v -> !lost.contains(v)).toList();
      Pause.sleep(Duration.ofMillis(SETTLE_MS));
      List<Result> results = new ArrayList<>();
      results.add(sample(fleet, remaining, label, "before"));
      lost.forEach(SiteVm::kill);
      results.add(sample(fleet, remaining, label, "after the loss"));
      updateVmList(fleet, remaining);
      results.add(sample(fleet, remaining, label, "after the VM list"));
      return results;
    }
  }

  private static void updateVmList(Fleet fleet, List<SiteVm> remaining) throws IOException {
    List<ListedVm> vms = new ArrayList<>();
    for (SiteVm vm : remaining) {
      String address = "127.0.0.1:" + vm.controlPeerAddress().getPort();
      vms.add(new ListedVm(vm.id(), vm.domain(), address, false));
    }
    String json = new String(Json.encode(vms), StandardCharsets.UTF_8);
    StartupTimes.send("PUT", fleet.site().standInUrl("vm_list").resolve("/vms"), json);
  }

  private Result sample(Fleet fleet, List<SiteVm> vms, String lost, String phase)
      throws IOException {
    Map<SiteVm, MetricsPage> before = fleet.metricsPages(vms);
    Pause.sleep(Duration.ofMillis(sampleMs));
    Map<SiteVm, MetricsPage> after = fleet.metricsPages(vms);
    double cpu = 0;
    double out = 0;
    double log = 0;
    double appends = 0;
    for (SiteVm vm : vms) {
      Map<String, Double> rates = after.get(vm).ratesSince(before.get(vm));
      RunResult result = new RunResult(null, rates);
      cpu += 100 * result.mean("process_cpu_seconds") / vms.size();
      out += result.mean("link_bytes_out{kind=\"peer\"}") / vms.size();
      log += result.mean("http_bytes_in{service=\"log\"}") / vms.size();
      appends += result.sumOfMeans("log_appends{");
    }
    return new Result(lost, phase, cpu, out, log, appends);
  }
}
