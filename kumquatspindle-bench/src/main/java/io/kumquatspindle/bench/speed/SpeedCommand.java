package io.kumquatspindle.bench.speed;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.bench.WorkDirectory;
import io.kumquatspindle.bench.caller.Caller;
import io.kumquatspindle.bench.caller.ChatReply;
import io.kumquatspindle.bench.caller.ChatRequest;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.Pause;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

/** Measures the same request to a warm model through entry and straight to the stand-in. */
@Command(
    name = "speed",
    description = "Measures the time that entry adds to a request to a warm model")
public final class SpeedCommand implements Callable<Integer> {
  private static final String MODEL = "warm-model";
  private static final String KEY = "speed-key";
  private static final int UNLIMITED = 100_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration REST = Duration.ofSeconds(5);
  private static final int WARM_ATTEMPTS = 100;
  private static final Duration WARM_PAUSE = Duration.ofMillis(100);

  @Option(name = "--rates", title = "LIST", description = "Requests a second for each target")
  private String rates = "200,1000";

  @Option(name = "--seconds", title = "N", description = "Measured time of each rate")
  private int seconds = 20;

  @Option(name = "--warmup-seconds", title = "N", description = "Time before, not measured")
  private int warmupSeconds = 10;

  @Option(name = "--first-token-ms", title = "N", description = "First-token time of the engine")
  private int firstTokenMs = 10;

  @Option(name = "--tokens", title = "N", description = "Tokens of each answer")
  private int tokens = 4;

  @Option(name = "--result", title = "FILE", description = "Result file (JSON)")
  private String result = "speed.json";

  /** Creates the command; called by Airline. */
  public SpeedCommand() {}

  @Override
  public Integer call() throws IOException {
    List<Integer> rateList =
        Arrays.stream(rates.split(",", -1)).map(s -> Integer.parseInt(s.strip())).toList();
    BuildTree tree = BuildTree.own();
    WorkDirectory directory = WorkDirectory.create("kumquatspindle-speed-");
    SpeedReport report;
    try (TestSite site = startSite(tree, directory.path());
        Caller caller = new Caller(REQUEST_TIMEOUT)) {
      report = measure(tree, site, caller, rateList);
    } catch (IOException e) {
      System.err.println("settings and output files: " + directory.path());
      throw e;
    }
    directory.delete();
    report.print(System.out);
    byte[] json = Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(report);
    Files.write(Path.of(result), json);
    return report.runs().stream().allMatch(SpeedReport.Run::withoutFailure) ? 0 : 1;
  }

  private TestSite startSite(BuildTree tree, Path directory) throws IOException {
    return TestSite.builder(tree, directory)
        .standIns("engines.first_token_ms", firstTokenMs)
        .standIns("engines.per_token_ms", 1)
        .standIns("engines.capacity", UNLIMITED)
        .standIns("engines.max_waiting", UNLIMITED)
        .standIns("engines.history", 0)
        .start();
  }

  private SpeedReport measure(BuildTree tree, TestSite site, Caller caller, List<Integer> rateList)
      throws IOException {
    HeapGauge heap = new HeapGauge(caller, site.vms().get(0).entryAdmin());
    URI entry = site.vms().get(0).callers();
    URI direct = site.url(site.engines().get(0));
    ChatRequest request = new ChatRequest(MODEL, "how long does this take", tokens);
    prepare(tree, site, caller, entry, request);
    HeapGauge.Sampling rest = heap.start();
    Pause.of(REST);
    HeapGauge.Heap atRest = rest.end();
    List<Target> targets =
        List.of(
            new Target("entry", entry, Optional.of(KEY)),
            new Target("direct", direct, Optional.empty()));
    OpenLoop loop = new OpenLoop(caller, request);
    List<SpeedReport.Run> runs = new ArrayList<>();
    for (int rate : rateList) {
      loop.run(targets, rate, Duration.ofSeconds(warmupSeconds));
      HeapGauge.Sampling load = heap.start();
      List<TargetResult.Summary> s = loop.run(targets, rate, Duration.ofSeconds(seconds));
      runs.add(new SpeedReport.Run(rate, seconds, s.get(0), s.get(1), load.end()));
    }
    int processors = Runtime.getRuntime().availableProcessors();
    return new SpeedReport(processors, firstTokenMs, tokens, atRest, runs);
  }

  /** Files the first ticket and sends requests until one is answered by the warm model. */
  private void prepare(BuildTree tree, TestSite site, Caller caller, URI entry, ChatRequest request)
      throws IOException {
    ModelSpec model = new ModelSpec(ArtifactName.of(MODEL), 1_000, 1);
    OperatorCommand operator = new OperatorCommand(tree, site);
    OperatorCommand.Result filed = operator.file(SiteTickets.first(site, KEY, List.of(model)));
    if (!filed.succeeded()) {
      throw new IOException("cannot file the ticket: " + filed.output());
    }
    ChatReply last = null;
    for (int i = 0; i < WARM_ATTEMPTS; i++) {
      last = caller.send(entry, Optional.of(KEY), request);
      if (last.answers(request)) {
        return;
      }
      Pause.of(WARM_PAUSE);
    }
    throw new IOException("the model does not get warm: " + last);
  }
}
