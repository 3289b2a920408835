package io.kumquatspindle.bench.measure;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.bench.WorkDirectory;
import io.kumquatspindle.bench.processes.BuildTree;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

/** Command that compares placement and quota policies on the workload of a deployment. */
@Command(
    name = "measure",
    description = "Runs a deployment's workload under several policies and compares them")
public final class MeasureCommand implements Callable<Integer> {

  @Option(name = "--site", description = "kenya or sweden")
  private String site = "kenya";

  @Option(
      name = "--fault",
      description = "none, domain_cut, log_out, slow_store or greedy_customer")
  private String fault = "none";

  @Option(name = "--policies", description = "comma-separated policies; all policies if absent")
  private String policies = "";

  @Option(name = "--seconds", description = "duration of a run, in seconds")
  private long seconds = 60;

  @Option(name = "--seed", description = "random seed of the workload")
  private long seed = 1;

  @Option(name = "--result", description = "result file (JSON)")
  private String result = "";

  /** Instantiated by Airline. */
  public MeasureCommand() {}

  @Override
  public Integer call() throws IOException, InterruptedException {
    Deployment deployment = site.equals("sweden") ? Deployment.SWEDEN : Deployment.KENYA;
    Fault f = Fault.valueOf(fault.toUpperCase(Locale.ROOT));
    List<Arrival> arrivals = Workload.generate(deployment, seconds, seed, f);
    List<RunFigures> runs = new ArrayList<>();
    for (Policy p : policies()) {
      WorkDirectory directory = WorkDirectory.create("kumquatspindle-measure-");
      runs.add(
          new MeasurementRun(deployment, p, f, arrivals)
              .run(BuildTree.current(), directory.path()));
      directory.delete();
    }
    String title =
        deployment.name() + ", fault " + fault + ", " + seconds + " s, seed " + seed + ":";
    MeasureReport.print(System.out, title, runs);
    if (!result.isEmpty()) {
      Files.write(Path.of(result), Json.encode(runs));
    }
    return 0;
  }

  private List<Policy> policies() {
    if (policies.isEmpty()) {
      return List.of(Policy.values());
    }
    return Arrays.stream(policies.split(",", -1))
        .map(p -> Policy.valueOf(p.strip().toUpperCase(Locale.ROOT)))
        .toList();
  }
}
