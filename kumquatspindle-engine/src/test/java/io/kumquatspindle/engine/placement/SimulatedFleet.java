package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.AdapterSpec;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.engine.check.ReplicaHistoryChecker;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Simulates several controllers, a log and endpoints, with faults generated from a seed. */
final class SimulatedFleet {
  static final long STEP_MS = 100;
  private static final long EPOCH_MS = 1_000_000_000;
  private static final CustomerName CUSTOMER = CustomerName.of("dawn");

  final PlacementStateMachine referenceStateMachine = PlacementStateMachine.initial();
  final ReplicaHistoryChecker checker;
  final Configuration configuration;
  final List<Vm> vms = new ArrayList<>();
  final Set<VmId> goneVms = new HashSet<>();
  long now = 1_000;
  boolean injectFaults = true;
  private final Map<EndpointName, SimulatedEndpoint> endpoints = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private final List<DecisionRecord> log = new ArrayList<>();
  private final List<Long> logTimesMs = new ArrayList<>();
  private final Random random;
  private boolean logAvailable = true;
  private long replacementVms;
  private long nextSequence;

  SimulatedFleet(long seed) {
    random = new Random(seed);
    configuration = configuration();
    checker =
        new ReplicaHistoryChecker(
            configuration.endpoints().values().stream()
                .collect(Collectors.toMap(EndpointSpec::name, EndpointSpec::memoryMb)));
    configuration
        .endpoints()
        .forEach((name, spec) -> endpoints.put(name, new SimulatedEndpoint(spec, checker)));
    for (int i = 0; i < 3; i++) {
      start(VmId.of("vm-" + i));
    }
  }

  private static Configuration configuration() {
    Map<ArtifactName, ModelSpec> models = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      ArtifactName name = ArtifactName.of("m" + i);
      models.put(name, new ModelSpec(name, 400 + 100L * i, 1 + i % 2));
    }
    ArtifactName adapter = ArtifactName.of("a0");
    Map<EndpointName, EndpointSpec> specs = new HashMap<>();
    for (int i = 0; i < 3; i++) {
      EndpointName name = EndpointName.of("e" + i);
      specs.put(
          name,
          new EndpointSpec(
              name, FailureDomain.of("d"), "", EndpointSpec.Kind.ENGINE, 1_000, i == 0, false));
    }
    return new Configuration(
        1,
        models,
        Map.of(adapter, new AdapterSpec(adapter, ArtifactName.of("m0"), 50, 1)),
        Map.of(),
        Map.of(),
        specs,
        Map.of(),
        Map.of(),
        new Limits(List.of(), 1, 2, 5, 3));
  }

  void start(VmId id) {
    try {
      byte[] snapshot = Json.encode(referenceStateMachine.toState());
      PlacementStateMachine stateMachine =
          PlacementStateMachine.of(Json.decode(snapshot, PlacementState.class));
      vms.removeIf(v -> v.id.equals(id));
      vms.add(new Vm(id, stateMachine));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  void run(long ms) {
    for (long end = now + ms; now < end; now += STEP_MS) {
      if (injectFaults) {
        injectRandomFaults();
      }
      while (!events.isEmpty() && events.peek().atMs() <= now) {
        events.poll().action().run();
      }
      if (now % 500 == 0) {
        endpoints.values().forEach(this::report);
      }
      List.copyOf(vms).forEach(Vm::step);
      if (!checker.violations().isEmpty()) {
        return;
      }
    }
  }

  private void injectRandomFaults() {
    if (withProbability(0.01)) {
      endpoints.get(EndpointName.of("e" + random.nextInt(3))).restart();
    }
    if (withProbability(0.01)) {
      logAvailable = !logAvailable;
    }
    Vm vm = vms.get(random.nextInt(vms.size()));
    if (withProbability(0.01)) {
      vm.pausedUntilMs = now + random.nextInt(40_000);
    } else if (withProbability(0.005)) {
      vm.crashed = true;
      start(vm.id);
    } else if (withProbability(0.005)) {
      vm.crashed = true;
      vms.remove(vm);
      schedule(3_000 + random.nextInt(5_000), () -> goneVms.add(vm.id));
      start(VmId.of("vm-" + (3 + ++replacementVms)));
    }
    if (withProbability(0.1)) {
      ArtifactName artifact = artifacts().get(random.nextInt(artifacts().size()));
      vm.addDemand(artifact, 1_000 + random.nextInt(30_000));
    }
  }

  void stopFaults() {
    injectFaults = false;
    logAvailable = true;
    vms.forEach(v -> v.pausedUntilMs = 0);
  }

  List<ArtifactName> artifacts() {
    List<ArtifactName> all = new ArrayList<>(configuration.models().keySet());
    all.addAll(configuration.adapters().keySet());
    all.sort(Comparator.naturalOrder());
    return all;
  }

  private void report(SimulatedEndpoint e) {
    EndpointReport report = e.report(now);
    long asOf = now + random.nextInt(2_000);
    for (Vm vm : vms) {
      schedule(
          2_000 + random.nextInt(1_000),
          () -> vm.deliver(c -> c.endpointReported(report, asOf, now)));
    }
  }

  private void append(Vm vm, LoadAction.AppendDecision a) {
    boolean up = logAvailable && !(injectFaults && withProbability(0.05));
    boolean late = injectFaults && withProbability(0.05);
    boolean lost = injectFaults && withProbability(0.1);
    if (!up) {
      vm.answerAppend(a, new AppendResult.NotAppended("log outage"), 10);
      return;
    }
    schedule(
        late ? random.nextInt(10_000) : 0,
        () -> {
          long offset = appendToLog(a.record());
          if (!late && !lost) {
            vm.answerAppend(a, new AppendResult.Appended(offset), 10);
          }
        });
    if (late || lost) {
      vm.answerAppend(a, new AppendResult.Unknown("response lost"), 1_000);
    }
  }

  private long appendToLog(DecisionRecord r) {
    long offset = log.size();
    log.add(r);
    Set<Long> before =
        referenceStateMachine.replicas().stream()
            .map(Replica::decision)
            .collect(Collectors.toSet());
    logTimesMs.add(EPOCH_MS + now);
    referenceStateMachine.apply(offset, EPOCH_MS + now, r);
    referenceStateMachine.replicas().forEach(x -> before.remove(x.decision()));
    before.forEach(checker::reservationReleased);
    referenceStateMachine
        .replica(offset)
        .ifPresent(
            x ->
                checker.loadDecided(
                    offset,
                    x.endpoint(),
                    x.artifact(),
                    x.memoryMb(),
                    configuration.maxReplicas(x.artifact()).orElseThrow()));
    return offset;
  }

  /** Sends an order over a connection to the endpoint's current process. */
  private void send(
      Vm vm,
      EndpointName name,
      Function<SimulatedEndpoint, Optional<Long>> order,
      ResultHandler handler) {
    SimulatedEndpoint e = endpoints.get(name);
    int incarnation = e.incarnation;
    boolean lost = injectFaults && withProbability(0.1);
    boolean late = injectFaults && withProbability(0.1);
    boolean silent = lost || late || injectFaults && withProbability(0.1);
    if (!lost) {
      schedule(
          late ? random.nextInt(20_000) : 5,
          () -> {
            Optional<Long> done = e.incarnation == incarnation ? order.apply(e) : Optional.empty();
            if (silent) {
              return;
            }
            OrderResult refused = new OrderResult.Refused("refused");
            schedule(
                done.map(ms -> Math.max(0, ms - now)).orElse(0L),
                () ->
                    handler.handle(
                        vm,
                        e.incarnation != incarnation
                            ? new OrderResult.Unknown("connection reset")
                            : done.isPresent() ? new OrderResult.Done() : refused));
          });
    }
    if (silent) {
      schedule(2_000, () -> handler.handle(vm, new OrderResult.Unknown("timeout")));
    }
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(now + delayMs, nextSequence++, action));
  }

  private boolean withProbability(double p) {
    return random.nextDouble() < p;
  }

  private interface ResultHandler {
    void handle(Vm vm, OrderResult result);
  }

  private record Event(long atMs, long sequence, Runnable action) {}

  /** A control program with its queued inputs and outputs, which it handles after a pause. */
  final class Vm {
    final VmId id;
    final PlacementStateMachine stateMachine;
    final Map<ArtifactName, LoadAction.SendOutlook> outlooks = new HashMap<>();
    boolean crashed;
    private final LoadController controller;
    private final ArrayDeque<Function<LoadController, List<LoadAction>>> inbox = new ArrayDeque<>();
    private final ArrayDeque<Runnable> outbox = new ArrayDeque<>();
    private final Map<ArtifactName, Long> demandDeadlines = new HashMap<>();
    private long pausedUntilMs;

    private Vm(VmId id, PlacementStateMachine stateMachine) {
      this.id = id;
      this.stateMachine = stateMachine;
      controller =
          LoadController.builder(id, "p" + ++nextSequence, stateMachine)
              .settings(LoadSettings.DEFAULT.withIdleUnloadMs(8_000))
              .random(random)
              .build(now);
      deliver(c -> c.configurationChanged(configuration, now));
    }

    void addDemand(ArtifactName artifact, long forMs) {
      demandDeadlines.put(artifact, now + forMs);
    }

    private void deliver(Function<LoadController, List<LoadAction>> input) {
      if (!crashed) {
        inbox.add(input);
      }
    }

    private void step() {
      if (crashed || now < pausedUntilMs) {
        return;
      }
      while (!outbox.isEmpty()) {
        outbox.poll().run();
      }
      boolean up = logAvailable;
      inbox.add(c -> c.logAvailabilityChanged(up, now));
      goneVms.forEach(outcome -> inbox.add(c -> c.vmGone(outcome, now)));
      inbox.add(c -> c.tick(now));
      demandDeadlines.values().removeIf(deadline -> deadline < now);
      demandDeadlines.forEach(
          (a, deadline) -> inbox.add(c -> c.demandReported(a, CUSTOMER, 1, deadline, now)));
      while (!inbox.isEmpty()) {
        inbox.poll().apply(controller).forEach(this::perform);
      }
      while (logAvailable && stateMachine.nextOffset() < log.size()) {
        int offset = (int) stateMachine.nextOffset();
        ApplyOutcome outcome = stateMachine.apply(offset, logTimesMs.get(offset), log.get(offset));
        controller.decisionApplied(offset, log.get(offset), outcome, now).forEach(this::perform);
      }
    }

    /**
     * Queues orders and appends until the next step, which is delayed if the VM is paused before.
     */
    private void perform(LoadAction action) {
      if (action instanceof LoadAction.SendOutlook o) {
        outlooks.put(o.artifact(), o);
      } else if (action instanceof LoadAction.AppendDecision a) {
        outbox.add(() -> append(this, a));
      } else if (action instanceof LoadAction.SendLoad o) {
        long loadMs = o.model().isPresent() ? 10 : 500 + random.nextInt(3_000);
        outbox.add(
            () ->
                send(
                    this,
                    o.endpoint(),
                    e -> e.load(o, now, loadMs),
                    (vm, r) -> vm.answerOrder(o.decision(), o.attempt(), r)));
      } else if (action instanceof LoadAction.SendUnload o) {
        outbox.add(
            () ->
                send(
                    this,
                    o.endpoint(),
                    e -> e.unload(o) ? Optional.of(now) : Optional.empty(),
                    (vm, r) -> vm.answerOrder(o.decision(), o.attempt(), r)));
      }
    }

    private void answerAppend(LoadAction.AppendDecision a, AppendResult r, long delayMs) {
      schedule(delayMs, () -> deliver(c -> c.appendFinished(a.appendId(), r, now)));
    }

    private void answerOrder(long decision, int attempt, OrderResult r) {
      int times = injectFaults && withProbability(0.2) ? 2 : 1;
      for (int i = 0; i < times; i++) {
        schedule(i * 3_000L, () -> deliver(c -> c.orderFinished(decision, attempt, r, now)));
      }
    }
  }
}
