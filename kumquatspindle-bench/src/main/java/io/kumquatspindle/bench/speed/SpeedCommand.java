package io.kumquatspindle.bench.speed;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.bench.WorkDirectory;
import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
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

/**
 * Command that measures the latency of a request to a warm model, once through the entry process
 * and once sent directly to the engine stand-in.
 */
@Command(
    name = "speed",
    description = "Measures the latency that the entry process adds to a request to a warm model")
public final class SpeedCommand implements Callable<Integer> {
  private static final String MODEL = "warm-model";
  private static final String KEY = "speed-key";
  private static final int UNLIMITED = 100_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration IDLE_SAMPLE_DURATION = Duration.ofSeconds(5);
  private static final int WARMUP_ATTEMPTS = 100;
  private static final Duration WARMUP_RETRY_DELAY = Duration.ofMillis(100);

  @Option(name = "--rates", title = "LIST", description = "Requests per second for each target")
  private String rates = "200,1000";

  @Option(name = "--seconds", title = "N", description = "Measured time at each rate, in seconds")
  private int seconds = 20;

  @Option(
      name = "--warmup-seconds",
      title = "N",
      description = "Warm-up time at each rate, in seconds")
  private int warmupSeconds = 10;

  @Option(
      name = "--first-token-ms",
      title = "N",
      description = "First-token time of the engine stand-in")
  private int firstTokenMs = 10;

  @Option(name = "--tokens", title = "N", description = "Number of tokens in each response")
  private int tokens = 4;

  @Option(name = "--result", title = "FILE", description = "Result file (JSON)")
  private String result = "speed.json";

  /** Instantiated by Airline. */
  public SpeedCommand() {}

  @Override
  public Integer call() throws IOException {
    List<Integer> rateList =
        Arrays.stream(rates.split(",", -1)).map(s -> Integer.parseInt(s.strip())).toList();
    BuildTree tree = BuildTree.current();
    WorkDirectory directory = WorkDirectory.create("kumquatspindle-speed-");
    SpeedReport report;
    try (TestSite site = startSite(tree, directory.path());
        ChatClient client = new ChatClient(REQUEST_TIMEOUT)) {
      report = measure(tree, site, client, rateList);
    } catch (IOException e) {
      System.err.println("settings and output files: " + directory.path());
      throw e;
    }
    directory.delete();
    report.print(System.out);
    byte[] json = Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(report);
    Files.write(Path.of(result), json);
    return report.runs().stream().allMatch(SpeedReport.Run::succeeded) ? 0 : 1;
  }

  private TestSite startSite(BuildTree tree, Path directory) throws IOException {
    return TestSite.builder(tree, directory)
        .standInSetting("engines.first_token_ms", firstTokenMs)
        .standInSetting("engines.per_token_ms", 1)
        .standInSetting("engines.capacity", UNLIMITED)
        .standInSetting("engines.max_waiting", UNLIMITED)
        .standInSetting("engines.history", 0)
        .start();
  }

  private SpeedReport measure(
      BuildTree tree, TestSite site, ChatClient client, List<Integer> rateList) throws IOException {
    HeapSampler heapSampler = new HeapSampler(client, site.vms().get(0).entryAdminUrl());
    URI entry = site.vms().get(0).callerUrl();
    URI direct = site.standInUrl(site.engines().get(0));
    ChatRequest request = new ChatRequest(MODEL, "how long does this take", tokens);
    warmUpModel(tree, site, client, entry, request);
    HeapSampler.Sampling idleSampling = heapSampler.start();
    Pause.sleep(IDLE_SAMPLE_DURATION);
    HeapSampler.Heap atRest = idleSampling.stop();
    List<Target> targets =
        List.of(
            new Target("entry", entry, Optional.of(KEY)),
            new Target("direct", direct, Optional.empty()));
    OpenLoop loop = new OpenLoop(client, request);
    List<SpeedReport.Run> runs = new ArrayList<>();
    for (int rate : rateList) {
      loop.run(targets, rate, Duration.ofSeconds(warmupSeconds));
      HeapSampler.Sampling loadSampling = heapSampler.start();
      List<TargetResult.Summary> summaries = loop.run(targets, rate, Duration.ofSeconds(seconds));
      runs.add(
          new SpeedReport.Run(
              rate, seconds, summaries.get(0), summaries.get(1), loadSampling.stop()));
    }
    int processors = Runtime.getRuntime().availableProcessors();
    return new SpeedReport(processors, firstTokenMs, tokens, atRest, runs);
  }

  /** Files the first ticket and sends requests until the model is loaded and responds. */
  private void warmUpModel(
      BuildTree tree, TestSite site, ChatClient client, URI entry, ChatRequest request)
      throws IOException {
    ModelSpec model = new ModelSpec(ArtifactName.of(MODEL), 1_000, 1);
    OperatorCommand operator = new OperatorCommand(tree, site);
    OperatorCommand.Result filed =
        operator.file(SiteTickets.initialTicket(site, KEY, List.of(model)));
    if (!filed.succeeded()) {
      throw new IOException("cannot file the first ticket: " + filed.output());
    }
    ChatReply last = null;
    for (int i = 0; i < WARMUP_ATTEMPTS; i++) {
      last = client.send(entry, Optional.of(KEY), request);
      if (last.isCompleteResponseTo(request)) {
        return;
      }
      Pause.sleep(WARMUP_RETRY_DELAY);
    }
    throw new IOException("no complete response from the warm model; last reply: " + last);
  }
}
