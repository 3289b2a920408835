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

/** Several controllers, one log and endpoints, with faults drawn from a seed. */
final class SimulatedFleet {
  static final long STEP_MS = 100;
  private static final long EPOCH_MS = 1_000_000_000;
  private static final CustomerName CUSTOMER = CustomerName.of("dawn");

  final PlacementFold truth = PlacementFold.initial();
  final ReplicaHistoryChecker checker;
  final Configuration configuration;
  final List<Vm> vms = new ArrayList<>();
  final Set<VmId> gone = new HashSet<>();
  long now = 1_000;
  boolean faults = true;
  private final Map<EndpointName, SimulatedEndpoint> endpoints = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final List<DecisionRecord> log = new ArrayList<>();
  private final List<Long> logTimesMs = new ArrayList<>();
  private final Random random;
  private boolean logUp = true;
  private long started;
  private long order;

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
      byte[] snapshot = Json.encode(truth.toState());
      PlacementFold fold = PlacementFold.of(Json.decode(snapshot, PlacementState.class));
      vms.removeIf(v -> v.id.equals(id));
      vms.add(new Vm(id, fold));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  void run(long ms) {
    for (long end = now + ms; now < end; now += STEP_MS) {
      if (faults) {
        breakSomething();
      }
      while (!events.isEmpty() && events.peek().atMs() <= now) {
        events.poll().action().run();
      }
      if (now % 500 == 0) {
        endpoints.values().forEach(this::report);
      }
      List.copyOf(vms).forEach(Vm::step);
      if (!checker.faults().isEmpty()) {
        return;
      }
    }
  }

  private void breakSomething() {
    if (chance(0.01)) {
      endpoints.get(EndpointName.of("e" + random.nextInt(3))).restart();
    }
    if (chance(0.01)) {
      logUp = !logUp;
    }
    Vm vm = vms.get(random.nextInt(vms.size()));
    if (chance(0.01)) {
      vm.pausedUntilMs = now + random.nextInt(40_000);
    } else if (chance(0.005)) {
      vm.dead = true;
      start(vm.id);
    } else if (chance(0.005)) {
      vm.dead = true;
      vms.remove(vm);
      at(3_000 + random.nextInt(5_000), () -> gone.add(vm.id));
      start(VmId.of("vm-" + (3 + ++started)));
    }
    if (chance(0.1)) {
      ArtifactName artifact = artifacts().get(random.nextInt(artifacts().size()));
      vm.want(artifact, 1_000 + random.nextInt(30_000));
    }
  }

  void calm() {
    faults = false;
    logUp = true;
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
      at(2_000 + random.nextInt(1_000), () -> vm.deliver(c -> c.report(report, asOf, now)));
    }
  }

  private void append(Vm vm, LoadAction.AppendDecision a) {
    boolean up = logUp && !(faults && chance(0.05));
    boolean late = faults && chance(0.05);
    boolean lost = faults && chance(0.1);
    if (!up) {
      vm.answerAppend(a, new AppendResult.NotAppended("log outage"), 10);
      return;
    }
    at(
        late ? random.nextInt(10_000) : 0,
        () -> {
          long offset = record(a.record());
          if (!late && !lost) {
            vm.answerAppend(a, new AppendResult.Appended(offset), 10);
          }
        });
    if (late || lost) {
      vm.answerAppend(a, new AppendResult.Unknown("response lost"), 1_000);
    }
  }

  private long record(DecisionRecord r) {
    long offset = log.size();
    log.add(r);
    Set<Long> before = truth.replicas().stream().map(Replica::decision).collect(Collectors.toSet());
    logTimesMs.add(EPOCH_MS + now);
    truth.apply(offset, EPOCH_MS + now, r);
    truth.replicas().forEach(x -> before.remove(x.decision()));
    before.forEach(checker::released);
    truth
        .replica(offset)
        .ifPresent(
            x ->
                checker.decided(
                    offset,
                    x.endpoint(),
                    x.artifact(),
                    x.memoryMb(),
                    configuration.maxReplicas(x.artifact()).orElseThrow()));
    return offset;
  }

  /** Sends an order on a connection to the endpoint's present process. */
  private void send(
      Vm vm, EndpointName name, Function<SimulatedEndpoint, Optional<Long>> order, Answer answer) {
    SimulatedEndpoint e = endpoints.get(name);
    int incarnation = e.incarnation;
    boolean lost = faults && chance(0.1);
    boolean late = faults && chance(0.1);
    boolean silent = lost || late || faults && chance(0.1);
    if (!lost) {
      at(
          late ? random.nextInt(20_000) : 5,
          () -> {
            Optional<Long> done = e.incarnation == incarnation ? order.apply(e) : Optional.empty();
            if (silent) {
              return;
            }
            OrderResult refused = new OrderResult.Refused("refused");
            at(
                done.map(ms -> Math.max(0, ms - now)).orElse(0L),
                () ->
                    answer.give(
                        vm,
                        e.incarnation != incarnation
                            ? new OrderResult.Unknown("connection reset")
                            : done.isPresent() ? new OrderResult.Done() : refused));
          });
    }
    if (silent) {
      at(2_000, () -> answer.give(vm, new OrderResult.Unknown("timeout")));
    }
  }

  private void at(long delayMs, Runnable action) {
    events.add(new Event(now + delayMs, order++, action));
  }

  private boolean chance(double p) {
    return random.nextDouble() < p;
  }

  private interface Answer {
    void give(Vm vm, OrderResult result);
  }

  private record Event(long atMs, long order, Runnable action) {}

  /** One control program, with what it still has to handle after a pause. */
  final class Vm {
    final VmId id;
    final PlacementFold fold;
    final Map<ArtifactName, LoadAction.Outlook> outlooks = new HashMap<>();
    boolean dead;
    private final LoadController controller;
    private final ArrayDeque<Function<LoadController, List<LoadAction>>> inbox = new ArrayDeque<>();
    private final ArrayDeque<Runnable> outbox = new ArrayDeque<>();
    private final Map<ArtifactName, Long> waiting = new HashMap<>();
    private long pausedUntilMs;

    private Vm(VmId id, PlacementFold fold) {
      this.id = id;
      this.fold = fold;
      controller =
          LoadController.builder(id, "p" + ++order, fold)
              .settings(LoadSettings.DEFAULT.withIdleUnloadMs(8_000))
              .random(random)
              .build(now);
      deliver(c -> c.configuration(configuration, now));
    }

    void want(ArtifactName artifact, long forMs) {
      waiting.put(artifact, now + forMs);
    }

    private void deliver(Function<LoadController, List<LoadAction>> input) {
      if (!dead) {
        inbox.add(input);
      }
    }

    private void step() {
      if (dead || now < pausedUntilMs) {
        return;
      }
      while (!outbox.isEmpty()) {
        outbox.poll().run();
      }
      boolean up = logUp;
      inbox.add(c -> c.logAvailable(up, now));
      gone.forEach(v -> inbox.add(c -> c.vmGone(v, now)));
      inbox.add(c -> c.tick(now));
      waiting.values().removeIf(deadline -> deadline < now);
      waiting.forEach((a, deadline) -> inbox.add(c -> c.wanted(a, CUSTOMER, 1, deadline, now)));
      while (!inbox.isEmpty()) {
        inbox.poll().apply(controller).forEach(this::carryOut);
      }
      while (logUp && fold.nextOffset() < log.size()) {
        int offset = (int) fold.nextOffset();
        Verdict v = fold.apply(offset, logTimesMs.get(offset), log.get(offset));
        controller.decisionApplied(offset, log.get(offset), v, now).forEach(this::carryOut);
      }
    }

    /** Orders and appends leave at the next step, which is late if the VM is paused before. */
    private void carryOut(LoadAction action) {
      if (action instanceof LoadAction.Outlook o) {
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
      at(delayMs, () -> deliver(c -> c.appendFinished(a.tag(), r, now)));
    }

    private void answerOrder(long decision, int attempt, OrderResult r) {
      int times = faults && chance(0.2) ? 2 : 1;
      for (int i = 0; i < times; i++) {
        at(i * 3_000L, () -> deliver(c -> c.orderFinished(decision, attempt, r, now)));
      }
    }
  }
}
