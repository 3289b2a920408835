package io.kumquatspindle.node.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against digests whose number grows with the square of the VMs. */
@DisplayName("Digests of a VM")
class DigestScaleTests {
  /** Processor time that control may take, in ms a second: 3.9 % of a core. */
  private static final double CONTROL_MS_PER_S = 39;

  /** Processor time of a digest sent and of one received, in ms; lines "vitals" of 79 VMs. */
  private static final double SENT_MS = 0.18;

  private static final double HEARD_MS = 0.14;

  private static final int SECONDS = 20;

  private final AtomicLong now = new AtomicLong(1_000);
  private final NodeContext node = TestNodes.of(now, "d0", "d1", "d2");
  private final List<String> sent = new ArrayList<>();
  private final Map<String, Long> usesTold = new HashMap<>();
  private final Map<String, List<Long>> toldMs = new HashMap<>();
  private final Peers peers = new Peers(node, new Recorder());
  private final QuotaController quotas = new QuotaController(node, peers, 1);

  /** Notes what is sent. */
  private final class Recorder implements PeerLinks {
    @Override
    public String self() {
      return TestNodes.SELF;
    }

    @Override
    public void send(Collection<String> addresses, PeerMessage message) {
      if (message instanceof PeerMessage.Digest d) {
        sent.addAll(addresses);
        if (d.consumed().containsKey("c")) {
          addresses.forEach(a -> toldMs.computeIfAbsent(a, x -> new ArrayList<>()).add(now.get()));
        }
        addresses.forEach(a -> usesTold.merge(a, d.models().getOrDefault("m", 0L), Long::sum));
      }
    }

    @Override
    public void reset(String address) {}
  }

  private static String address(int vm) {
    return "10." + vm % 3 + ".1." + vm + ":7600";
  }

  private void know(int vms) {
    for (int d = 0; d < 3; d++) {
      int domain = d;
      Set<String> addresses = new TreeSet<>();
      IntStream.range(1, vms).filter(i -> i % 3 == domain).forEach(i -> addresses.add(address(i)));
      peers.members("d" + d, addresses);
    }
  }

  private void hear(int vm) {
    peers.heard(
        new PeerMessage.Digest(
            1,
            address(vm),
            "d" + vm % 3,
            1,
            false,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            1,
            Set.of(),
            1_000));
  }

  private void tellFor(int seconds) {
    for (long until = now.get() + seconds * 1_000L; now.get() < until; ) {
      now.addAndGet(Peers.DIGEST_MS);
      quotas.modelUsed("m");
      quotas.tell(1, Set.of());
    }
  }

  @Test
  @DisplayName("of 79 take no more processor time than control may")
  void processorTime() {
    know(79);
    tellFor(SECONDS);
    double perSecond = (double) sent.size() / SECONDS;

    assertTrue(perSecond * (SENT_MS + HEARD_MS) <= CONTROL_MS_PER_S, perSecond + " a second");
  }

  @Test
  @DisplayName("reach each other VM, and tell each of them each use of a model once")
  void complete() {
    know(79);
    tellFor(SECONDS);
    sent.clear();
    usesTold.clear();
    tellFor(SECONDS);

    assertEquals(78, Set.copyOf(sent).size());
    long uses = SECONDS * 1_000 / Peers.DIGEST_MS;
    usesTold.forEach((address, told) -> assertEquals(uses, told, address));
  }

  @Test
  @DisplayName("tell each VM of all consumption before it takes this one to be silent")
  void consumption() {
    know(79);
    quotas.tryTake(TestNodes.customer("c", 0, 0), 1);
    tellFor(SECONDS);

    assertEquals(78, toldMs.size());
    toldMs.forEach(
        (address, times) ->
            IntStream.range(1, times.size())
                .forEach(
                    i -> assertTrue(times.get(i) - times.get(i - 1) < peers.silentMs(), address)));
    assertTrue(toldMs.values().stream().allMatch(t -> t.size() >= 4), toldMs.toString());
  }

  @Test
  @DisplayName("of 8 reach each other VM five times a second, which bounds what a customer gets")
  void few() {
    know(8);
    tellFor(SECONDS);

    assertEquals(7 * 5 * SECONDS, sent.size());
  }

  @Test
  @DisplayName("that are due less often do not make a VM that is well look silent")
  void rare() {
    know(79);
    IntStream.range(1, 79).forEach(this::hear);
    now.addAndGet(1_300);
    IntStream.range(1, 79).filter(i -> i % 2 == 0).forEach(this::hear);

    assertEquals(1.0, peers.audibleShare());
  }

  @Test
  @DisplayName("of a whole failure domain that are missing show its cut before a VM's own would")
  void cut() {
    know(79);
    IntStream.range(1, 79).forEach(this::hear);
    for (int i = 0; i < 10; i++) {
      now.addAndGet(100);
      IntStream.range(1, 79).filter(vm -> vm % 3 != 2).forEach(this::hear);
    }

    assertEquals(Set.of("d2"), peers.silentDomains());
    assertEquals(53.0 / 79, peers.audibleShare(), 0.001);
  }

  @Test
  @DisplayName("charge a customer with the whole of what was consumed between two of them")
  void charged() {
    know(79);
    IntStream.range(1, 79).forEach(this::hear);
    quotas.membersKnown();
    CustomerInfo customer = TestNodes.customer("c", 100, 1_000);
    quotas.tryTake(customer, 0);
    now.addAndGet(500);
    quotas.heard(consumed(0));
    for (int i = 1; i <= 2; i++) {
      now.addAndGet(2_000);
      quotas.heard(consumed(i * 400));
    }

    assertEquals(1_000 - 800, quotas.level(customer), 1);
  }

  private PeerMessage.Digest consumed(double total) {
    return new PeerMessage.Digest(
        1,
        address(1),
        "d1",
        1,
        false,
        Map.of("c", total),
        Map.of(),
        Map.of(),
        Map.of(),
        1,
        Set.of(),
        1_000);
  }
}
