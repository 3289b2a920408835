package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.FaultInjector;
import io.kumquatspindle.standins.http.HttpServerExchange;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Responds to {@code GET /report} with the state of the engine, delayed by the report lag. */
final class EngineReporter {
  private static final Duration SAMPLE_PERIOD = Duration.ofMillis(50);

  private final EngineOptions options;
  private final EngineMemory memory;
  private final CheckpointCache checkpoints;
  private final Supplier<ConcurrencyLimiter> limiter;
  private final FaultInjector<EngineFaults> faults;
  private final Deque<Sample> samples = new ArrayDeque<>();

  EngineReporter(
      EngineOptions options,
      TimerService timers,
      EngineMemory memory,
      CheckpointCache checkpoints,
      Supplier<ConcurrencyLimiter> limiter,
      FaultInjector<EngineFaults> faults) {
    this.options = options;
    this.memory = memory;
    this.checkpoints = checkpoints;
    this.limiter = limiter;
    this.faults = faults;
    if (!options.reportLag().isZero()) {
      sample();
      timers.every(SAMPLE_PERIOD, this::sample);
    }
  }

  void respond(HttpServerExchange exchange) {
    EngineFaults f = faults.current();
    if (!f.hang()) {
      exchange.reply(200, options.reportLag().isZero() ? current() : delayed());
    }
  }

  private synchronized void sample() {
    long now = System.nanoTime();
    samples.addLast(new Sample(now, current()));
    // Keeps the newest sample that is old enough at the head of the queue.
    while (samples.size() > 1 && secondIsOldEnough(now)) {
      samples.removeFirst();
    }
  }

  private boolean secondIsOldEnough(long now) {
    Sample second = samples.stream().skip(1).findFirst().orElseThrow();
    return now - second.nanos >= options.reportLag().toNanos();
  }

  private synchronized EndpointReport delayed() {
    return samples.getFirst().report;
  }

  private EndpointReport current() {
    ConcurrencyLimiter g = limiter.get();
    Map<ArtifactName, Integer> loaded = new TreeMap<>();
    memory.loaded().forEach((name, n) -> loaded.put(ArtifactName.of(name), n));
    return new EndpointReport(
        EndpointName.of(options.name()),
        memory.incarnation(),
        g.running(),
        g.waiting(),
        options.capacity(),
        faults.current().leaving(),
        loaded,
        names(memory.loading()),
        names(checkpoints.names()));
  }

  private static List<ArtifactName> names(List<String> names) {
    return names.stream().map(ArtifactName::of).toList();
  }

  private record Sample(long nanos, EndpointReport report) {}
}
