package io.kumquatspindle.bench.slopes;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.DoubleFunction;

/** Measures what control costs and how the cost grows. */
@Command(
    name = "slopes",
    description = "Measures what control costs by size of fleet, configuration and load")
public final class SlopesCommand implements Callable<Integer> {
  private static final int ATTEMPTS = 2;

  @Option(name = "--vms", title = "LIST", description = "Numbers of control processes")
  private String vms = "6,12,24,48";

  @Option(name = "--domains", title = "LIST", description = "Numbers of failure domains")
  private String domains = "2,3,6";

  @Option(name = "--artifacts", title = "LIST", description = "Numbers of models and adapters")
  private String artifacts = "200,1000,4520";

  @Option(name = "--endpoints", title = "LIST", description = "Numbers of endpoints")
  private String endpoints = "30,90,180";

  @Option(name = "--loads", title = "LIST", description = "Models asked for each second")
  private String loads = "0,1,2,3";

  @Option(name = "--changes", title = "LIST", description = "Tickets each minute")
  private String changes = "0,10,30,60";

  @Option(
      name = "--base",
      title = "LIST",
      description =
          "VMs, failure domains, artifacts, endpoints, loads/s and changes/min of the base")
  private String base = "12,3,1000,90,1,10";

  @Option(name = "--settle-seconds", title = "N", description = "Time before each sample")
  private int settleSeconds = 10;

  @Option(name = "--seconds", title = "N", description = "Sampled time of each row")
  private int seconds = 20;

  @Option(name = "--skip-losses", description = "Leaves out the loss of VMs")
  private boolean skipLosses;

  @Option(name = "--result", title = "FILE", description = "Result file (JSON)")
  private String result = "slopes.json";

  private final List<RowResult> rows = new ArrayList<>();
  private final List<CodeCost> code = new ArrayList<>();
  private final List<ServeTimes.Result> serving = new ArrayList<>();
  private final List<LossRun.Result> losses = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();
  private double loadBefore;

  /** Creates the command; called by Airline. */
  public SlopesCommand() {}

  @Override
  public Integer call() throws IOException {
    loadBefore = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    code.addAll(DecisionCode.measure());
    RowRun run = new RowRun(settleSeconds, seconds);
    for (Row row : rows(baseRow())) {
      attempt(row.toString(), () -> rows.add(run.run(row)));
    }
    for (double n : list(artifacts)) {
      String name = "time to serve with " + (int) n + " artifacts";
      attempt(name, () -> serving.addAll(ServeTimes.measure((int) n)));
    }
    if (!skipLosses) {
      attempt("losses", () -> losses.addAll(new LossRun(seconds).measure(baseRow())));
    }
    save().print(System.out);
    return failures.isEmpty() ? 0 : 1;
  }

  /** Runs a part; a part that fails is tried once more and then left out of the result. */
  private void attempt(String name, Part part) {
    for (int i = 1; i <= ATTEMPTS; i++) {
      System.err.println("running " + name);
      try {
        part.run();
        save();
        return;
      } catch (IOException e) {
        String text = name + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        System.err.println("attempt " + i + " failed: " + text);
        failures.add("attempt " + i + ", " + text);
      }
    }
  }

  /** Writes what is measured so far, so that a run that is cut short is not lost. */
  private SlopesReport save() throws IOException {
    Row start = baseRow();
    SlopesReport report =
        new SlopesReport(
            Runtime.getRuntime().availableProcessors(),
            loadBefore,
            seconds,
            start,
            rows,
            Slopes.of(start, rows),
            code,
            serving,
            losses,
            failures);
    byte[] json = Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(report);
    Files.write(Path.of(result), json);
    return report;
  }

  private Row baseRow() {
    double[] b = list(base);
    return new Row((int) b[0], (int) b[1], (int) b[2], (int) b[3], b[4], b[5]);
  }

  private Set<Row> rows(Row start) {
    Set<Row> planned = new LinkedHashSet<>();
    planned.add(start);
    add(planned, vms, n -> start.withVms((int) n));
    add(planned, endpoints, n -> start.withEndpoints((int) n));
    add(planned, artifacts, n -> start.withArtifacts((int) n));
    add(planned, loads, start::withLoads);
    add(planned, changes, start::withChanges);
    add(planned, domains, n -> start.withDomains((int) n));
    return planned;
  }

  private static void add(Set<Row> rows, String values, DoubleFunction<Row> row) {
    Arrays.stream(list(values)).mapToObj(row).forEach(rows::add);
  }

  /** A part of the measurement. */
  @FunctionalInterface
  private interface Part {
    void run() throws IOException;
  }

  private static double[] list(String text) {
    return Arrays.stream(text.split(",", -1)).mapToDouble(Double::parseDouble).toArray();
  }
}
