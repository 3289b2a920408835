package io.kumquatspindle.bench.slopes;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A figure of one control that is fitted against the factors.
 *
 * @param name what is measured, with its unit
 * @param polled whether it is the cost of polling endpoints, which depends on the endpoints for
 *     each VM, and on nothing else
 * @param of reads it from the result of a run
 */
record Measure(String name, boolean polled, ToDoubleFunction<RowResult> of) {
  static final String CPU_POLLING = "threads that poll endpoints, % of a core";
  static final String CPU_REST = "processor without them, % of a core";
  static final String BYTES_POLLING = "endpoint report bytes/s in and out";
  static final String BYTES_REST = "other control bytes/s in and out";
  private static final double MB = 1_000_000;

  static List<Measure> all() {
    return List.of(
        polled(CPU_POLLING, Measure::polling),
        free(CPU_REST, r -> cpu(r, "process_cpu_seconds") - polling(r)),
        polled(BYTES_POLLING, Measure::reports),
        free(BYTES_REST, r -> bytes(r) - reports(r)),
        free("peer bytes/s out", r -> r.mean("link_bytes_out{kind=\"peer\"}")),
        free("peer bytes/s in", r -> r.mean("link_bytes_in{kind=\"peer\"}")),
        free("peer frames/s out", r -> r.mean("link_frames_out{kind=\"peer\"}")),
        free(
            "of it gossip bytes/s out", r -> r.meanOfAll("link_message_bytes_sent{message=\"Goss")),
        free("of it records bytes/s out", r -> sent(r, "Records")),
        free("log bytes/s in", r -> http(r, "in", "log")),
        free("log bytes/s out", r -> http(r, "out", "log")),
        free("VM list bytes/s in", r -> http(r, "in", "vm_list")),
        free("weight store bytes/s in", r -> http(r, "in", "store")),
        free("appends/s of the fleet", r -> r.meanOfAll("log_appends{") * r.row().vms()),
        free("of it decisions", r -> r.mean("log_appends{stream=\"decisions\"}") * r.row().vms()),
        free("of it shares", r -> r.mean("log_appends{stream=\"shares\"}") * r.row().vms()),
        free("live heap, MB", r -> r.mean("live_heap_bytes") / MB),
        free("non-heap, MB", r -> r.mean("jvm_non_heap_used_bytes") / MB),
        free("resident, MB", r -> r.mean("process_resident_bytes") / MB),
        free("threads", r -> r.mean("jvm_threads")),
        free("peer connections", r -> r.mean("link_connections{kind=\"peer\"}")),
        free("duty placement, % of a core", r -> thread(r, "placement")),
        free("duty membership, % of a core", r -> thread(r, "membership")),
        free("duty configuration, % of a core", r -> thread(r, "configuration")),
        free("duty quota, % of a core", r -> thread(r, "quota")),
        free("timer thread, % of a core", r -> thread(r, "timer")),
        free("threads that follow streams, % of a core", Measure::followers),
        free("events/s of all duties", r -> r.meanOfAll("duty_events")));
  }

  private static Measure free(String name, ToDoubleFunction<RowResult> of) {
    return new Measure(name, false, of);
  }

  private static Measure polled(String name, ToDoubleFunction<RowResult> of) {
    return new Measure(name, true, of);
  }

  private static double polling(RowResult r) {
    return thread(r, "poll-endpoints");
  }

  private static double reports(RowResult r) {
    return http(r, "in", "endpoint_reports") + http(r, "out", "endpoint_reports");
  }

  /** The link to the entry program is not counted: it stays on the VM. */
  private static double bytes(RowResult r) {
    return r.mean("link_bytes_in{kind=\"peer\"}")
        + r.mean("link_bytes_out{kind=\"peer\"}")
        + r.meanOfAll("http_bytes_");
  }

  private static double http(RowResult r, String direction, String service) {
    return r.mean("http_bytes_" + direction + "{service=\"" + service + "\"}");
  }

  private static double sent(RowResult r, String message) {
    return r.mean("link_message_bytes_sent{message=\"" + message + "\"}");
  }

  private static double cpu(RowResult r, String name) {
    return 100 * r.mean(name);
  }

  private static double thread(RowResult r, String name) {
    return cpu(r, "thread_cpu_seconds{thread=\"" + name + "\"}");
  }

  private static double followers(RowResult r) {
    return 100 * r.meanOfAll("thread_cpu_seconds{thread=\"follow-");
  }
}
