package io.kumquatspindle.bench.slopes;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.message.PeerMessage.AgedReport;
import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.IntentRecord;
import io.kumquatspindle.bench.tickets.LargeTickets;
import io.kumquatspindle.bench.tickets.SiteTickets;
import io.kumquatspindle.engine.config.ConfigurationStateMachine;
import io.kumquatspindle.engine.membership.Membership;
import io.kumquatspindle.engine.placement.PlacementStateMachine;
import io.kumquatspindle.engine.request.IntentStateMachine;
import io.kumquatspindle.transport.codec.MessageCodec;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

/**
 * Measures the cost of log folds, membership and message encoding in-process, at sizes up to the
 * expected ones, without starting a fleet.
 */
final class DecisionCodeBenchmark {
  private static final int REPEATS = 200;
  private static final int MEMBER_REPEATS = 5_000;
  private static final int ENDPOINTS = 610;
  private static final int DOMAINS = 9;
  private static final long WINDOW_MS = 86_400_000;
  private static final VmId VM_ID = VmId.of("vm-0");
  private static final double NANOS_PER_MICRO = 1000;

  private final List<CodeCost> costs = new ArrayList<>();

  private DecisionCodeBenchmark() {}

  static List<CodeCost> measure() {
    DecisionCodeBenchmark benchmark = new DecisionCodeBenchmark();
    benchmark.measureConfiguration(
        200); // Warm-up run, so that the JIT compiler has compiled the measured code.
    benchmark.costs.clear();
    for (int n : new int[] {200, 1_000, 2_000, 4_520}) {
      benchmark.measureConfiguration(n);
    }
    for (int n : new int[] {100, 500, 1_000, 2_500}) {
      benchmark.measurePlacement(n);
    }
    for (int n : new int[] {50, 100, 200, 350}) {
      benchmark.measureMembership(n);
    }
    for (int n : new int[] {1_000, 10_000, 50_000}) {
      benchmark.measureIntents(n);
    }
    for (int n : new int[] {0, 4, 8, 16}) {
      benchmark.measureReport(n);
    }
    for (int n : new int[] {30, 90, 180, ENDPOINTS}) {
      benchmark.measureEndpointLoads(n);
    }
    return benchmark.costs;
  }

  private void measureConfiguration(int artifacts) {
    long before = usedHeap();
    ConfigurationStateMachine[] fold = {ConfigurationStateMachine.initial()};
    apply(fold, 0, Json.encode(LargeTickets.initialTicket(domains(), endpoints(), artifacts)));
    long heap = usedHeap() - before;
    double micros =
        cpuMicros(
            REPEATS,
            i -> apply(fold, i + 1, Json.encode(LargeTickets.adapterChange(i + 2, artifacts))));
    Configuration c = fold[0].configuration();
    if (c.number() != REPEATS + 1) {
      throw new IllegalStateException(
          "tickets were rejected; the last accepted one is " + c.number());
    }
    add("fold of tickets, 1 change", artifacts, "artifacts", heap, Json.encode(c).length, micros);
    Message update = new EntryMessage.ConfigUpdate(1, 0, c);
    int bytes = encode(update).length;
    add("ConfigUpdate", artifacts, "artifacts", 0, bytes, cpuMicros(REPEATS, i -> encode(update)));
  }

  private static void apply(ConfigurationStateMachine[] fold, long offset, byte[] ticket) {
    ConfigurationStateMachine.Outcome step = fold[0].apply(new LogRecord(offset, offset, ticket));
    if (step instanceof ConfigurationStateMachine.Outcome.Accepted a) {
      fold[0] = a.stateMachine();
    }
  }

  private void measurePlacement(int replicas) {
    long before = usedHeap();
    PlacementStateMachine fold = PlacementStateMachine.initial();
    IntStream.range(0, replicas).forEach(i -> applyLoad(fold, i));
    long heap = usedHeap() - before;
    int present = fold.replicas().size();
    byte[] state = Json.encode(fold.toState());
    double micros = cpuMicros(REPEATS, i -> applyLoad(fold, replicas + i)) / 2;
    add("fold of decisions", present, "replicas", heap, state.length, micros);
    List<EntryMessage.Replica> list =
        fold.replicas().stream()
            .limit(present)
            .map(
                r ->
                    new EntryMessage.Replica(
                        r.endpoint(), r.artifact(), EntryMessage.ReplicaState.READY, 0))
            .toList();
    Message update = new EntryMessage.PlacementUpdate(list);
    int bytes = encode(update).length;
    add("PlacementUpdate", present, "replicas", 0, bytes, cpuMicros(REPEATS, i -> encode(update)));
  }

  private static void applyLoad(PlacementStateMachine fold, int i) {
    DecisionRecord.LoadLimits basis =
        new DecisionRecord.LoadLimits(1, Optional.empty(), 1, 80_000_000, 4, 1_000_000, 30);
    long offset = fold.nextOffset();
    EndpointName endpoint = EndpointName.of("engine-" + i % ENDPOINTS);
    ArtifactName artifact = ArtifactName.of("adapter-" + i);
    DecisionRecord decided =
        new DecisionRecord.LoadDecided(endpoint, artifact, 10, false, VM_ID, "n" + i, basis);
    fold.apply(offset, offset, decided);
    fold.apply(offset + 1, offset, new DecisionRecord.LoadFinished(offset, true, VM_ID));
  }

  private void measureMembership(int vms) {
    long before = usedHeap();
    Membership m = new Membership(member(0, 1), new Random(1));
    List<Member> all = IntStream.range(1, vms).mapToObj(i -> member(i, 1)).toList();
    m.merge(all, 0);
    long heap = usedHeap() - before;
    int changed = Math.min(Membership.MAX_DELTA_MEMBERS, vms - 1);
    double micros =
        cpuMicros(
            MEMBER_REPEATS,
            i -> {
              m.merge(all.subList(0, changed), i);
              m.members(i);
              m.takeDelta();
            });
    Membership full = new Membership(member(0, 1), new Random(1));
    full.merge(all, 0);
    Gossip gossip = new Gossip(1, 0, full.takeDelta(), List.of(), 1, 1);
    add("membership, 1 gossip", vms, "VMs", heap, encode(gossip).length, micros);
  }

  private static Member member(int i, long number) {
    return new Member(
        VmId.of("vm-" + i),
        FailureDomain.of("domain-" + i % DOMAINS),
        "10.0." + i / 250 + "." + i % 250 + ":7101",
        1_700_000_000_000L + i,
        0,
        MemberState.ALIVE,
        number);
  }

  private void measureIntents(int count) {
    long before = usedHeap();
    IntentStateMachine fold = new IntentStateMachine(WINDOW_MS);
    IntStream.range(0, count).forEach(i -> applyIntent(fold, i));
    long heap = usedHeap() - before;
    int bytes = Json.encode(intentRecorded(1)).length + Json.encode(intentFinished(1)).length;
    double micros = cpuMicros(REPEATS, i -> applyIntent(fold, count + i)) / 2;
    add("fold of intents", fold.size() - REPEATS, "intents", heap, bytes, micros);
  }

  private static void applyIntent(IntentStateMachine fold, int i) {
    long offset = fold.nextOffset();
    fold.apply(offset, offset, intentRecorded(i));
    fold.apply(offset + 1, offset, intentFinished(i));
  }

  private static IntentRecord intentRecorded(int i) {
    String digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    return new IntentRecord.IntentRecorded(
        SiteTickets.CUSTOMER, "key-" + i, digest, VM_ID, "n" + i);
  }

  private static IntentRecord intentFinished(int i) {
    return new IntentRecord.IntentFinished(
        SiteTickets.CUSTOMER, "key-" + i, "n" + i, ExecutionStatus.RAN, 200);
  }

  private void measureReport(int loaded) {
    Map<ArtifactName, Integer> artifacts = new HashMap<>();
    IntStream.range(0, loaded).forEach(i -> artifacts.put(ArtifactName.of("adapter-" + i), 1));
    EndpointReport r =
        new EndpointReport(
            EndpointName.of("engine-100"),
            "0a1b2c3d-0a1b-0a1b-0a1b-0a1b2c3d4e5f",
            3,
            0,
            32,
            false,
            artifacts,
            List.of(),
            List.of());
    Gossip one = new Gossip(1, 0, List.of(), List.of(new AgedReport(300, r)), 1, 1);
    Gossip none = new Gossip(1, 0, List.of(), List.of(), 1, 1);
    int bytes = encode(one).length - encode(none).length;
    add("report in gossip", loaded, "artifacts", 0, bytes, cpuMicros(REPEATS, i -> encode(one)));
  }

  private void measureEndpointLoads(int endpoints) {
    List<EntryMessage.EndpointLoad> list =
        IntStream.range(0, endpoints)
            .mapToObj(
                i ->
                    new EntryMessage.EndpointLoad(
                        EndpointName.of("engine-" + i), 3, 0, 32, false, 300))
            .toList();
    Message m = new EntryMessage.EndpointLoads(list);
    int bytes = encode(m).length;
    add("EndpointLoads", endpoints, "endpoints", 0, bytes, cpuMicros(REPEATS, i -> encode(m)));
  }

  private void add(
      String name, int size, String unit, long heap, long bytes, double microsPerRecord) {
    costs.add(new CodeCost(name, size, unit, heap, bytes, microsPerRecord));
  }

  private static byte[] encode(Message m) {
    return MessageCodec.encode(new Envelope(1, 0, m));
  }

  private static List<FailureDomain> domains() {
    return IntStream.range(0, DOMAINS).mapToObj(i -> FailureDomain.of("domain-" + i)).toList();
  }

  private static List<EndpointSpec> endpoints() {
    return IntStream.range(0, ENDPOINTS)
        .mapToObj(
            i ->
                new EndpointSpec(
                    EndpointName.of("engine-" + i),
                    FailureDomain.of("domain-" + i % DOMAINS),
                    "http://10.1." + i / 250 + "." + i % 250 + ":9000",
                    EndpointSpec.Kind.ENGINE,
                    80_000,
                    true,
                    false))
        .toList();
  }

  private static double cpuMicros(int repeats, IntConsumer step) {
    long start = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    IntStream.range(0, repeats).forEach(step);
    long end = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    return (end - start) / NANOS_PER_MICRO / repeats;
  }

  private static long usedHeap() {
    System.gc();
    Runtime jvm = Runtime.getRuntime();
    return jvm.totalMemory() - jvm.freeMemory();
  }
}
