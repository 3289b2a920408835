package io.kumquatspindle.bench.slopes;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Result of the {@code slopes} command, as written to the result file.
 *
 * @param processors the number of processors available to the JVM
 * @param loadAverageBefore the load average of the machine before the measurement
 * @param sampleSeconds the sampling time of each run, in seconds
 * @param base the row from which one factor at a time is varied
 * @param rows the results of the runs
 * @param slopes the linear fits and the extrapolation to the expected size
 * @param code the cost of decision code alone
 * @param serving the startup times of a VM
 * @param losses the load on the remaining VMs after a loss of VMs
 * @param failures the failed attempts
 */
record SlopesReport(
    int processors,
    double loadAverageBefore,
    long sampleSeconds,
    Row base,
    List<RunResult> rows,
    Slopes slopes,
    List<CodeCost> code,
    List<StartupTimes.Result> serving,
    List<VmLossRun.Result> losses,
    List<String> failures) {

  void print(PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%d processors, load average before %.1f, samples of %d s, base %s%n%n",
        processors,
        loadAverageBefore,
        sampleSeconds,
        base);
    out.println("| measure | factor | points | at zero | slope | standard error | r2 |");
    out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (Slopes.Line l : slopes.lines()) {
      StringBuilder points = new StringBuilder();
      for (int i = 0; i < l.x().length; i++) {
        points.append(i == 0 ? "" : ", ").append(formatNumber(l.x()[i])).append(": ");
        points.append(formatNumber(l.y()[i]));
      }
      LinearFit f = l.fit();
      out.printf(
          "| %s | %s | %s | %s | %s | %s | %.2f |%n",
          l.measure(),
          l.factor(),
          points,
          formatNumber(f.intercept()),
          formatNumber(f.slope()),
          formatNumber(f.slopeError()),
          f.r2());
    }
    out.println();
    out.println("| measure | at the base | at the expected size | standard error |");
    out.println("| --- | --- | --- | --- |");
    for (Slopes.Expected e : slopes.expected()) {
      out.printf(
          "| %s | %s | %s | %s |%n",
          e.measure(), formatNumber(e.base()), formatNumber(e.value()), formatNumber(e.error()));
    }
    printTotals(out);
    printOthers(out);
    failures.forEach(f -> out.println("failed: " + f));
  }

  private void printTotals(PrintStream out) {
    double cpu = slopes.expected(FittedMetric.CPU_POLLING) + slopes.expected(FittedMetric.CPU_REST);
    double bytes =
        slopes.expected(FittedMetric.BYTES_POLLING) + slopes.expected(FittedMetric.BYTES_REST);
    out.printf("| processor, %% of a core (limit 3.9) | | %s | |%n", formatNumber(cpu));
    out.printf("| control bytes/s in and out (limit 6,000) | | %s | |%n%n", formatNumber(bytes));
  }

  private void printOthers(PrintStream out) {
    out.println("| decision code | size | unit | heap bytes | encoded bytes | us per record |");
    out.println("| --- | --- | --- | --- | --- | --- |");
    for (CodeCost c : code) {
      out.printf(
          "| %s | %d | %s | %d | %d | %s |%n",
          c.name(), c.size(), c.unit(), c.heapBytes(), c.encodedBytes(), formatNumber(c.micros()));
    }
    out.println();
    out.println("| artifacts | state from | control ready, ms | entry ready, ms |");
    out.println("| --- | --- | --- | --- |");
    for (StartupTimes.Result s : serving) {
      out.printf("| %d | %s | %d | %d |%n", s.artifacts(), s.from(), s.controlMs(), s.entryMs());
    }
    out.println();
    out.println("| lost | phase | % of a core | peer bytes/s out | log bytes/s in | appends |");
    out.println("| --- | --- | --- | --- | --- | --- |");
    for (VmLossRun.Result l : losses) {
      out.printf(
          "| %s | %s | %s | %s | %s | %s |%n",
          l.lost(),
          l.phase(),
          formatNumber(l.corePercent()),
          formatNumber(l.peerBytesOut()),
          formatNumber(l.logBytesIn()),
          formatNumber(l.appendsPerSecond()));
    }
  }

  private static String formatNumber(double v) {
    if (Double.isNaN(v)) {
      return "-";
    }
    double size = Math.abs(v);
    String format = size >= 100 || size == 0 ? "%.0f" : size >= 1 ? "%.2f" : "%.3g";
    return String.format(Locale.ROOT, format, v);
  }
}
