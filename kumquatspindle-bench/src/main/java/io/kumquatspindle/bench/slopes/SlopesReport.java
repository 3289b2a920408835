package io.kumquatspindle.bench.slopes;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * The result of a run, as written to the result file.
 *
 * @param processors processors that the Java virtual machine sees
 * @param loadAverageBefore load average of the machine before the run
 * @param sampleSeconds time over which each row was sampled
 * @param base the row from which one factor at a time is varied
 * @param rows the runs
 * @param slopes the lines and the values at the expected size
 * @param code cost of decision code alone
 * @param serving time until a new VM serves
 * @param losses what the other VMs do when some are lost
 * @param failures attempts that failed
 */
record SlopesReport(
    int processors,
    double loadAverageBefore,
    long sampleSeconds,
    Row base,
    List<RowResult> rows,
    Slopes slopes,
    List<CodeCost> code,
    List<ServeTimes.Result> serving,
    List<LossRun.Result> losses,
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
        points.append(i == 0 ? "" : ", ").append(number(l.x()[i])).append(": ");
        points.append(number(l.y()[i]));
      }
      LinearFit f = l.fit();
      out.printf(
          "| %s | %s | %s | %s | %s | %s | %.2f |%n",
          l.measure(),
          l.factor(),
          points,
          number(f.intercept()),
          number(f.slope()),
          number(f.slopeError()),
          f.r2());
    }
    out.println();
    out.println("| measure | at the base | at the expected size | standard error |");
    out.println("| --- | --- | --- | --- |");
    for (Slopes.Expected e : slopes.expected()) {
      out.printf(
          "| %s | %s | %s | %s |%n",
          e.measure(), number(e.base()), number(e.value()), number(e.error()));
    }
    printTotals(out);
    printOthers(out);
    failures.forEach(f -> out.println("failed: " + f));
  }

  private void printTotals(PrintStream out) {
    double cpu = slopes.expected(Measure.CPU_POLLING) + slopes.expected(Measure.CPU_REST);
    double bytes = slopes.expected(Measure.BYTES_POLLING) + slopes.expected(Measure.BYTES_REST);
    out.printf("| processor, %% of a core (limit 3.9) | | %s | |%n", number(cpu));
    out.printf("| control bytes/s in and out (limit 6,000) | | %s | |%n%n", number(bytes));
  }

  private void printOthers(PrintStream out) {
    out.println("| decision code | size | unit | heap bytes | encoded bytes | us per record |");
    out.println("| --- | --- | --- | --- | --- | --- |");
    for (CodeCost c : code) {
      out.printf(
          "| %s | %d | %s | %d | %d | %s |%n",
          c.name(), c.size(), c.unit(), c.heapBytes(), c.encodedBytes(), number(c.micros()));
    }
    out.println();
    out.println("| artifacts | state from | control ready, ms | entry ready, ms |");
    out.println("| --- | --- | --- | --- |");
    for (ServeTimes.Result s : serving) {
      out.printf("| %d | %s | %d | %d |%n", s.artifacts(), s.from(), s.controlMs(), s.entryMs());
    }
    out.println();
    out.println("| lost | phase | % of a core | peer bytes/s out | log bytes/s in | appends |");
    out.println("| --- | --- | --- | --- | --- | --- |");
    for (LossRun.Result l : losses) {
      out.printf(
          "| %s | %s | %s | %s | %s | %s |%n",
          l.lost(),
          l.phase(),
          number(l.corePercent()),
          number(l.peerBytesOut()),
          number(l.logBytesIn()),
          number(l.appendsPerSecond()));
    }
  }

  private static String number(double v) {
    if (Double.isNaN(v)) {
      return "-";
    }
    double size = Math.abs(v);
    String format = size >= 100 || size == 0 ? "%.0f" : size >= 1 ? "%.2f" : "%.3g";
    return String.format(Locale.ROOT, format, v);
  }
}
