package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.Exchange;
import io.kumquatspindle.standins.http.FaultSwitch;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Gives the engine's report, as it was some time ago. */
final class EngineReporter {
  private static final Duration SAMPLE_PERIOD = Duration.ofMillis(50);

  private final EngineOptions options;
  private final EngineMemory memory;
  private final CheckpointCache checkpoints;
  private final Supplier<WorkGate> gate;
  private final FaultSwitch<EngineFaults> faults;
  private final Deque<Sample> samples = new ArrayDeque<>();

  EngineReporter(
      EngineOptions options,
      TimerService timers,
      EngineMemory memory,
      CheckpointCache checkpoints,
      Supplier<WorkGate> gate,
      FaultSwitch<EngineFaults> faults) {
    this.options = options;
    this.memory = memory;
    this.checkpoints = checkpoints;
    this.gate = gate;
    this.faults = faults;
    if (!options.reportLag().isZero()) {
      sample();
      timers.every(SAMPLE_PERIOD, this::sample);
    }
  }

  void answer(Exchange x) {
    EngineFaults f = faults.peek();
    if (!f.hang()) {
      x.reply(200, options.reportLag().isZero() ? current() : lagging());
    }
  }

  private synchronized void sample() {
    long now = System.nanoTime();
    samples.addLast(new Sample(now, current()));
    // The first sample stays the newest one that is old enough.
    while (samples.size() > 1 && secondIsOldEnough(now)) {
      samples.removeFirst();
    }
  }

  private boolean secondIsOldEnough(long now) {
    Sample second = samples.stream().skip(1).findFirst().orElseThrow();
    return now - second.nanos >= options.reportLag().toNanos();
  }

  private synchronized EndpointReport lagging() {
    return samples.getFirst().report;
  }

  private EndpointReport current() {
    WorkGate g = gate.get();
    Map<ArtifactName, Integer> loaded = new TreeMap<>();
    memory.loaded().forEach((name, n) -> loaded.put(ArtifactName.of(name), n));
    return new EndpointReport(
        EndpointName.of(options.name()),
        memory.incarnation(),
        g.running(),
        g.waiting(),
        options.capacity(),
        faults.peek().leaving(),
        loaded,
        names(memory.loading()),
        names(checkpoints.names()));
  }

  private static List<ArtifactName> names(List<String> names) {
    return names.stream().map(ArtifactName::of).toList();
  }

  private record Sample(long nanos, EndpointReport report) {}
}
