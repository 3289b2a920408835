package io.kumquatspindle.bench.measure;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints the results of several runs as a table with one row per policy. */
final class MeasureReport {
  private static final String ROW =
      "%-20s %8s %7s %6s %8s %8s %8s %8s %9s %9s %6s %5s %9s %7s %8s%n";

  private MeasureReport() {}

  static void print(PrintStream out, String title, List<RunFigures> runs) {
    out.println(title);
    out.printf(
        ROW,
        "policy",
        "requests",
        "whole",
        "cold",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "p99 ratio",
        "idle h",
        "idle rat",
        "loads",
        "over",
        "ref. in",
        "ref. %",
        "worst");
    for (RunFigures f : runs) {
      out.printf(
          ROW,
          f.policy().name().toLowerCase(Locale.ROOT),
          f.requests(),
          f.whole(),
          f.coldStarts(),
          f.coldP50Ms(),
          f.coldP95Ms(),
          f.coldP99Ms(),
          fixed(f.coldRatioP99(), 2),
          fixed(f.idleHours(), 3),
          fixed(f.idleRatio(), 2),
          f.loads(),
          f.memoryOvercommits(),
          f.quota().refusedInsideRate(),
          fixed(100 * f.quota().refusedFraction(), 2),
          fixed(f.quota().worstShare(), 3));
      out.println(
          "    errors by code: "
              + f.errors()
              + "; tokens admitted beyond rate and burst: "
              + fixed(f.quota().overAdmitted(), 0));
    }
  }

  private static String fixed(double value, int digits) {
    return String.format(Locale.ROOT, "%." + digits + "f", value);
  }
}
