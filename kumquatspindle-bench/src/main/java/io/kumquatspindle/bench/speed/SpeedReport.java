package io.kumquatspindle.bench.speed;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Result of the {@code speed} command, as written to the result file.
 *
 * @param processors the number of processors available to the JVM
 * @param engineFirstTokenMs the configured first-token time of the engine stand-in
 * @param answerTokens the number of tokens in each response
 * @param heapAtRest the heap usage of the entry process without load
 * @param runs one result per request rate
 */
record SpeedReport(
    int processors,
    int engineFirstTokenMs,
    int answerTokens,
    HeapSampler.Heap heapAtRest,
    List<Run> runs) {

  /**
   * Result at one request rate.
   *
   * @param requestsPerSecond the request rate of each target
   * @param seconds the duration of the measurement
   * @param entry the requests sent through the entry process
   * @param direct the same requests sent directly to the engine stand-in
   * @param heapUnderLoad the heap usage of the entry process during the run
   */
  record Run(
      int requestsPerSecond,
      long seconds,
      TargetResult.Summary entry,
      TargetResult.Summary direct,
      HeapSampler.Heap heapUnderLoad) {

    boolean succeeded() {
      return entry.failed() == 0 && direct.failed() == 0 && entry.answered() > 0;
    }
  }

  void print(PrintStream out) {
    for (Run r : runs) {
      out.printf(
          Locale.ROOT,
          "%d requests/s each for %d s: entry %d answered, %d failed; direct %d answered,"
              + " %d failed%n",
          r.requestsPerSecond,
          r.seconds,
          r.entry.answered(),
          r.entry.failed(),
          r.direct.answered(),
          r.direct.failed());
      printTimes(out, "first token", r.entry.firstTokenMicros(), r.direct.firstTokenMicros());
      printTimes(out, "whole answer", r.entry.wholeMicros(), r.direct.wholeMicros());
      printTimes(out, "longest gap", r.entry.gapMicros(), r.direct.gapMicros());
      printTimes(out, "send lag", r.entry.sendLagMicros(), r.direct.sendLagMicros());
      if (!r.entry.failures().isEmpty() || !r.direct.failures().isEmpty()) {
        out.println("  failures: entry " + r.entry.failures() + " direct " + r.direct.failures());
      }
      printHeap(out, "under load", r.heapUnderLoad);
    }
    printHeap(out, "at rest", heapAtRest);
  }

  private static void printTimes(
      PrintStream out, String what, TargetResult.Times entry, TargetResult.Times direct) {
    printLine(out, what + " p50", entry.p50(), direct.p50());
    printLine(out, what + " p99", entry.p99(), direct.p99());
  }

  private static void printLine(PrintStream out, String what, long entry, long direct) {
    out.printf(
        Locale.ROOT,
        "  %-17s entry %8.3f ms  direct %8.3f ms  difference %8.3f ms  ratio %6.2f%n",
        what,
        entry / 1000.0,
        direct / 1000.0,
        (entry - direct) / 1000.0,
        direct == 0 ? Double.NaN : (double) entry / direct);
  }

  private static void printHeap(PrintStream out, String when, HeapSampler.Heap h) {
    out.printf(
        Locale.ROOT,
        "  entry heap in use %s: %.1f to %.1f MB, after collection at most %.1f MB (%d samples)%n",
        when,
        h.min() / 1e6,
        h.max() / 1e6,
        h.maxAfterCollection() / 1e6,
        h.samples());
  }
}
