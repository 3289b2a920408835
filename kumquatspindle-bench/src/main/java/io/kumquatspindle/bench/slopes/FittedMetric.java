package io.kumquatspindle.bench.slopes;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Metric of a control process that is fitted against the factors.
 *
 * @param name the name of the metric with its unit
 * @param polled whether the metric is a cost of polling endpoints, which depends only on the number
 *     of endpoints per VM
 * @param of the function that extracts the metric from the result of a run
 */
record FittedMetric(String name, boolean polled, ToDoubleFunction<RunResult> of) {
  static final String CPU_POLLING = "threads that poll endpoints, % of a core";
  static final String CPU_REST = "processor without them, % of a core";
  static final String BYTES_POLLING = "endpoint report bytes/s in and out";
  static final String BYTES_REST = "other control bytes/s in and out";
  private static final double MB = 1_000_000;

  static List<FittedMetric> all() {
    return List.of(
        polled(CPU_POLLING, FittedMetric::pollingCpu),
        general(CPU_REST, r -> cpuPercent(r, "process_cpu_seconds") - pollingCpu(r)),
        polled(BYTES_POLLING, FittedMetric::reportBytes),
        general(BYTES_REST, r -> controlBytes(r) - reportBytes(r)),
        general("peer bytes/s out", r -> r.mean("link_bytes_out{kind=\"peer\"}")),
        general("peer bytes/s in", r -> r.mean("link_bytes_in{kind=\"peer\"}")),
        general("peer frames/s out", r -> r.mean("link_frames_out{kind=\"peer\"}")),
        general(
            "of it gossip bytes/s out",
            r -> r.sumOfMeans("link_message_bytes_sent{message=\"Goss")),
        general("of it records bytes/s out", r -> messageBytesSent(r, "Records")),
        general("log bytes/s in", r -> httpBytes(r, "in", "log")),
        general("log bytes/s out", r -> httpBytes(r, "out", "log")),
        general("VM list bytes/s in", r -> httpBytes(r, "in", "vm_list")),
        general("weight store bytes/s in", r -> httpBytes(r, "in", "store")),
        general("appends/s of the fleet", r -> r.sumOfMeans("log_appends{") * r.row().vms()),
        general(
            "of it decisions", r -> r.mean("log_appends{stream=\"decisions\"}") * r.row().vms()),
        general("of it shares", r -> r.mean("log_appends{stream=\"shares\"}") * r.row().vms()),
        general("live heap, MB", r -> r.mean("live_heap_bytes") / MB),
        general("non-heap, MB", r -> r.mean("jvm_non_heap_used_bytes") / MB),
        general("resident, MB", r -> r.mean("process_resident_bytes") / MB),
        general("threads", r -> r.mean("jvm_threads")),
        general("peer connections", r -> r.mean("link_connections{kind=\"peer\"}")),
        general("duty placement, % of a core", r -> threadCpu(r, "placement")),
        general("duty membership, % of a core", r -> threadCpu(r, "membership")),
        general("duty configuration, % of a core", r -> threadCpu(r, "configuration")),
        general("duty quota, % of a core", r -> threadCpu(r, "quota")),
        general("timer thread, % of a core", r -> threadCpu(r, "timer")),
        general("threads that follow streams, % of a core", FittedMetric::streamFollowerCpu),
        general("events/s of all duties", r -> r.sumOfMeans("duty_events")));
  }

  private static FittedMetric general(String name, ToDoubleFunction<RunResult> of) {
    return new FittedMetric(name, false, of);
  }

  private static FittedMetric polled(String name, ToDoubleFunction<RunResult> of) {
    return new FittedMetric(name, true, of);
  }

  private static double pollingCpu(RunResult r) {
    return threadCpu(r, "poll-endpoints");
  }

  private static double reportBytes(RunResult r) {
    return httpBytes(r, "in", "endpoint_reports") + httpBytes(r, "out", "endpoint_reports");
  }

  /** Excludes the link to the entry process, since its traffic does not leave the VM. */
  private static double controlBytes(RunResult r) {
    return r.mean("link_bytes_in{kind=\"peer\"}")
        + r.mean("link_bytes_out{kind=\"peer\"}")
        + r.sumOfMeans("http_bytes_");
  }

  private static double httpBytes(RunResult r, String direction, String service) {
    return r.mean("http_bytes_" + direction + "{service=\"" + service + "\"}");
  }

  private static double messageBytesSent(RunResult r, String message) {
    return r.mean("link_message_bytes_sent{message=\"" + message + "\"}");
  }

  private static double cpuPercent(RunResult r, String name) {
    return 100 * r.mean(name);
  }

  private static double threadCpu(RunResult r, String name) {
    return cpuPercent(r, "thread_cpu_seconds{thread=\"" + name + "\"}");
  }

  private static double streamFollowerCpu(RunResult r) {
    return 100 * r.sumOfMeans("thread_cpu_seconds{thread=\"follow-");
  }
}
