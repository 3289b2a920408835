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

/** Command that measures the resource usage of control processes and how it scales. */
@Command(
    name = "slopes",
    description = "Measures how the cost of control processes scales with size and load")
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

  @Option(name = "--loads", title = "LIST", description = "Models requested per second")
  private String loads = "0,1,2,3";

  @Option(name = "--changes", title = "LIST", description = "Tickets filed per minute")
  private String changes = "0,10,30,60";

  @Option(
      name = "--base",
      title = "LIST",
      description =
          "VMs, failure domains, artifacts, endpoints, loads/s and changes/min of the base")
  private String base = "12,3,1000,90,1,10";

  @Option(
      name = "--settle-seconds",
      title = "N",
      description = "Settling time before each sample, in seconds")
  private int settleSeconds = 10;

  @Option(name = "--seconds", title = "N", description = "Sampling time of each run, in seconds")
  private int seconds = 20;

  @Option(name = "--skip-losses", description = "Skips the measurement of VM losses")
  private boolean skipLosses;

  @Option(name = "--result", title = "FILE", description = "Result file (JSON)")
  private String result = "slopes.json";

  private final List<RunResult> runResults = new ArrayList<>();
  private final List<CodeCost> codeCosts = new ArrayList<>();
  private final List<StartupTimes.Result> startupTimes = new ArrayList<>();
  private final List<VmLossRun.Result> losses = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();
  private double loadAverageBefore;

  /** Instantiated by Airline. */
  public SlopesCommand() {}

  @Override
  public Integer call() throws IOException {
    loadAverageBefore = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    codeCosts.addAll(DecisionCodeBenchmark.measure());
    FleetRun run = new FleetRun(settleSeconds, seconds);
    for (Row parameters : plannedRuns(baseParameters())) {
      attempt(parameters.toString(), () -> runResults.add(run.run(parameters)));
    }
    for (double n : parseList(artifacts)) {
      String name = "time to serve with " + (int) n + " artifacts";
      attempt(name, () -> startupTimes.addAll(StartupTimes.measure((int) n)));
    }
    if (!skipLosses) {
      attempt("losses", () -> losses.addAll(new VmLossRun(seconds).measure(baseParameters())));
    }
    save().print(System.out);
    return failures.isEmpty() ? 0 : 1;
  }

  /** Runs a measurement. If it fails, it is retried once and then left out of the result. */
  private void attempt(String name, Measurement part) {
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

  /** Writes the results so far, so that they are not lost if the command is interrupted. */
  private SlopesReport save() throws IOException {
    Row baseParameters = baseParameters();
    SlopesReport report =
        new SlopesReport(
            Runtime.getRuntime().availableProcessors(),
            loadAverageBefore,
            seconds,
            baseParameters,
            runResults,
            Slopes.of(baseParameters, runResults),
            codeCosts,
            startupTimes,
            losses,
            failures);
    byte[] json = Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(report);
    Files.write(Path.of(result), json);
    return report;
  }

  private Row baseParameters() {
    double[] b = parseList(base);
    return new Row((int) b[0], (int) b[1], (int) b[2], (int) b[3], b[4], b[5]);
  }

  private Set<Row> plannedRuns(Row baseParameters) {
    Set<Row> planned = new LinkedHashSet<>();
    planned.add(baseParameters);
    addRuns(planned, vms, n -> baseParameters.withVms((int) n));
    addRuns(planned, endpoints, n -> baseParameters.withEndpoints((int) n));
    addRuns(planned, artifacts, n -> baseParameters.withArtifacts((int) n));
    addRuns(planned, loads, baseParameters::withLoads);
    addRuns(planned, changes, baseParameters::withChanges);
    addRuns(planned, domains, n -> baseParameters.withDomains((int) n));
    return planned;
  }

  private static void addRuns(Set<Row> planned, String values, DoubleFunction<Row> parameters) {
    Arrays.stream(parseList(values)).mapToObj(parameters).forEach(planned::add);
  }

  @FunctionalInterface
  private interface Measurement {
    void run() throws IOException;
  }

  private static double[] parseList(String text) {
    return Arrays.stream(text.split(",", -1)).mapToDouble(Double::parseDouble).toArray();
  }
}
