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

/** Measures what the other VMs do when one VM, or all VMs of a failure domain, are lost. */
final class LossRun {
  private static final long SETTLE_MS = 6_000;

  private final long sampleMs;

  LossRun(long sampleSeconds) {
    sampleMs = sampleSeconds * 1000;
  }

  /**
   * Mean of the VMs that are left.
   *
   * @param lost what was lost
   * @param phase when it was measured
   * @param corePercent processor time, in percent of a core
   * @param peerBytesOut bytes a second to other controls
   * @param logBytesIn bytes a second from the log
   * @param appendsPerSecond appends of all VMs that are left together
   */
  record Result(
      String lost,
      String phase,
      double corePercent,
      double peerBytesOut,
      double logBytesIn,
      double appendsPerSecond) {}

  List<Result> measure(Row row) throws IOException {
    List<Result> results = new ArrayList<>();
    results.addAll(lose(row, "one VM", false));
    results.addAll(lose(row, "a failure domain", true));
    return results;
  }

  private List<Result> lose(Row row, String name, boolean wholeDomain) throws IOException {
    try (Fleet fleet = Fleet.start(row, false);
        LoadDriver loads = new LoadDriver(fleet, row)) {
      List<SiteVm> all = fleet.site().vms();
      SiteVm first = all.get(all.size() - 1);
      List<SiteVm> lost =
          all.stream()
              .filter(v -> v == first || (wholeDomain && v.domain().equals(first.domain())))
              .toList();
      List<SiteVm> left = all.stream().filter(v -> !lost.contains(v)).toList();
      Pause.of(Duration.ofMillis(SETTLE_MS));
      List<Result> results = new ArrayList<>();
      results.add(sample(fleet, left, name, "before"));
      lost.forEach(SiteVm::kill);
      results.add(sample(fleet, left, name, "after the loss"));
      list(fleet, left);
      results.add(sample(fleet, left, name, "after the VM list"));
      return results;
    }
  }

  private static void list(Fleet fleet, List<SiteVm> left) throws IOException {
    List<ListedVm> vms = new ArrayList<>();
    for (SiteVm vm : left) {
      String address = "127.0.0.1:" + vm.controlLinks().getPort();
      vms.add(new ListedVm(vm.id(), vm.domain(), address, false));
    }
    String json = new String(Json.encode(vms), StandardCharsets.UTF_8);
    ServeTimes.send("PUT", fleet.site().url("vm_list").resolve("/vms"), json);
  }

  private Result sample(Fleet fleet, List<SiteVm> vms, String lost, String phase)
      throws IOException {
    Map<SiteVm, MetricsPage> before = fleet.pages(vms);
    Pause.of(Duration.ofMillis(sampleMs));
    Map<SiteVm, MetricsPage> after = fleet.pages(vms);
    double cpu = 0;
    double out = 0;
    double log = 0;
    double appends = 0;
    for (SiteVm vm : vms) {
      Map<String, Double> m = after.get(vm).since(before.get(vm));
      RowResult r = new RowResult(null, m);
      cpu += 100 * r.mean("process_cpu_seconds") / vms.size();
      out += r.mean("link_bytes_out{kind=\"peer\"}") / vms.size();
      log += r.mean("http_bytes_in{service=\"log\"}") / vms.size();
      appends += r.meanOfAll("log_appends{");
    }
    return new Result(lost, phase, cpu, out, log, appends);
  }
}
