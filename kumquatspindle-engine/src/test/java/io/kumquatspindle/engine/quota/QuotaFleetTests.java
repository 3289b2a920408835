package io.kumquatspindle.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.record.ShareRecord;
import io.kumquatspindle.engine.check.QuotaHistoryChecker;
import io.kumquatspindle.engine.check.QuotaHistoryChecker.Admission;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;

/**
 * Simulates a fleet under faults and checks requirement C7: the requests admitted by all VMs
 * together never exceed a customer's rate and burst.
 */
class QuotaFleetTests {
  private static final CustomerName C = CustomerName.of("dawn");
  private static final long RATE = 1_000;
  private static final long BURST = 1_500;

  @Property(tries = 150, seed = "20260113")
  @Label("stays within rate and burst despite lost messages, pauses, partitions and replaced VMs")
  void neverExceeds(@ForAll long seed) {
    Fleet fleet = new Fleet(seed, true);
    fleet.run(60_000);
    assertEquals(List.of(), fleet.violations());
    assertTrue(fleet.maxTokens <= BURST, () -> "tokens in the fleet: " + fleet.maxTokens);
  }

  @Property(tries = 20, seed = "20260114")
  @Label("without faults, transfers give a single busy VM most of the rate")
  void movesTokens(@ForAll long seed) {
    Fleet fleet = new Fleet(seed, false);
    fleet.run(60_000);
    assertEquals(List.of(), fleet.violations());
    long admitted = fleet.admissions.stream().mapToLong(Admission::tokens).sum();
    assertTrue(admitted >= RATE * 60 * 6 / 10, () -> "admitted only " + admitted);
  }

  @Example
  @Label("the checker accepts the exact limit and reports a single token above it")
  void checkerDetectsExcess() {
    QuotaHistoryChecker checker = new QuotaHistoryChecker().setLimit(C, 100, 50);
    List<Admission> good =
        List.of(new Admission(C, 0, 50), new Admission(C, 100, 10), new Admission(C, 1_100, 50));
    assertEquals(List.of(), checker.violations(good));
    List<Admission> bad =
        List.of(new Admission(C, 0, 50), new Admission(C, 100, 11), new Admission(C, 1_100, 50));
    assertEquals(
        List.of("dawn at 100 ms: 1000 thousandths of a token over"), checker.violations(bad));
  }

  private static final class Fleet {
    private final Random random;
    private final boolean injectFaults;
    private final SlotStateMachine logStateMachine = SlotStateMachine.initial();
    private final List<ShareRecord> log = new ArrayList<>();
    private final Map<VmId, Vm> vms = new HashMap<>();
    private final List<Admission> admissions = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private long now;
    private long order;
    private boolean partitioned;
    private long unspent;
    private long maxTokens;

    private Fleet(long seed, boolean injectFaults) {
      random = new Random(seed);
      this.injectFaults = injectFaults;
      for (int i = 0; i < 4; i++) {
        startVm(VmId.of("vm-" + i), FailureDomain.of("d" + i % 2));
      }
    }

    private List<String> violations() {
      return new QuotaHistoryChecker().setLimit(C, RATE, BURST).violations(admissions);
    }

    private void startVm(VmId id, FailureDomain domain) {
      vms.put(id, new Vm(id, domain, SlotStateMachine.of(logStateMachine.toState())));
    }

    private void run(long ms) {
      for (long end = now + ms; now < end; now += 5) {
        if (injectFaults) {
          injectRandomFault();
        }
        while (!events.isEmpty() && events.peek().atMs() <= now) {
          events.poll().action().run();
        }
        List.copyOf(vms.values()).forEach(Vm::step);
        long levels = vms.values().stream().mapToLong(v -> v.controller.tokens(C, now)).sum();
        maxTokens = Math.max(maxTokens, levels + unspent);
      }
    }

    private void injectRandomFault() {
      if (random.nextInt(400) == 0) {
        partitioned = !partitioned;
      }
      List<VmId> ids = new ArrayList<>(vms.keySet());
      ids.sort(Comparator.naturalOrder());
      Vm vm = vms.get(ids.get(random.nextInt(ids.size())));
      switch (random.nextInt(2_000)) {
        case 0, 1, 2, 3 -> vm.pausedUntilMs = now + random.nextInt(6_000);
        case 4 -> {
          vm.dead = true;
          startVm(vm.id, vm.domain);
        }
        case 5 -> {
          vm.dead = true;
          vms.remove(vm.id);
          startVm(VmId.of("vm-x" + ++order), vm.domain);
          VmId gone = vm.id;
          at(random.nextInt(5_000), () -> vms.values().forEach(v -> v.gone(gone)));
        }
        case 6 -> vm.deliver(c -> c.stop(now));
        default -> {}
      }
    }

    private void at(long delayMs, Runnable action) {
      events.add(new Event(now + delayMs, order++, action));
    }

    private boolean chance(int percent) {
      return injectFaults && random.nextInt(100) < percent;
    }

    private void send(Vm from, VmId to, Function<QuotaController, List<QuotaAction>> message) {
      Vm vm = vms.get(to);
      if (vm == null || chance(10) || (partitioned && !vm.domain.equals(from.domain))) {
        return;
      }
      for (int i = chance(10) ? 2 : 1; i > 0; i--) {
        at(1 + (chance(10) ? random.nextInt(3_000) : 1), () -> vm.deliver(message));
      }
    }

    private record Event(long atMs, long order, Runnable action) {}

    /** One VM: its control, and its entry, which spends granted tokens before they expire. */
    private final class Vm {
      private final VmId id;
      private final FailureDomain domain;
      private final SlotStateMachine stateMachine;
      private final QuotaController controller;
      private final ArrayDeque<Function<QuotaController, List<QuotaAction>>> inbox =
          new ArrayDeque<>();
      private final Map<Long, Long> askedMs = new HashMap<>();
      private long pausedUntilMs;
      private boolean dead;

      private Vm(VmId id, FailureDomain domain, SlotStateMachine stateMachine) {
        this.id = id;
        this.domain = domain;
        this.stateMachine = stateMachine;
        controller =
            QuotaController.builder(id, "p" + ++order, domain, stateMachine).random(random).build();
        Limits limits =
            new Limits(List.of(FailureDomain.of("d0"), FailureDomain.of("d1")), 3, 4, 4, 30);
        CustomerSpec spec = new CustomerSpec(C, RATE, BURST, 1, 0, null, null);
        Configuration configuration =
            new Configuration(
                1,
                Map.of(),
                Map.of(),
                Map.of(C, spec),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                limits);
        inbox.add(c -> c.configurationChanged(configuration, now));
      }

      private void deliver(Function<QuotaController, List<QuotaAction>> input) {
        if (!dead) {
          inbox.add(input);
        }
      }

      private void gone(VmId gone) {
        deliver(c -> c.vmGone(gone, now));
      }

      private void step() {
        if (dead || now < pausedUntilMs) {
          return;
        }
        Map<VmId, FailureDomain> members = new HashMap<>();
        vms.forEach((vm, v) -> members.put(vm, v.domain));
        inbox.add(c -> c.membersChanged(members, now));
        boolean busy = injectFaults ? isBusyPhase() : id.equals(VmId.of("vm-0"));
        if (busy && askedMs.size() < 20) {
          long request = ++order;
          askedMs.put(request, now);
          long tokens = 1 + random.nextInt(injectFaults ? 600 : 30);
          inbox.add(c -> c.entryRequested(request, C, tokens, now));
        }
        while (!inbox.isEmpty()) {
          inbox.poll().apply(controller).forEach(this::execute);
        }
        while (stateMachine.nextOffset() < log.size()) {
          ShareRecord r = log.get((int) stateMachine.nextOffset());
          controller
              .shareRecordApplied(r, stateMachine.apply(stateMachine.nextOffset(), r), now)
              .forEach(this::execute);
        }
      }

      /** Idle phases fill all buckets; in busy phases several VMs request all tokens at once. */
      private boolean isBusyPhase() {
        long phase = now / 2_000;
        boolean chosen = (id.hashCode() + phase / 2) % 3 != 0;
        return phase % 2 == 1 && chosen && random.nextInt(4) == 0;
      }

      private void execute(QuotaAction action) {
        if (action instanceof QuotaAction.AppendShare a) {
          boolean lost = chance(10);
          at(
              chance(10) ? random.nextInt(4_000) : 5,
              () -> {
                logStateMachine.apply(log.size(), a.record());
                log.add(a.record());
              });
          AppendResult r =
              lost ? new AppendResult.Unknown("lost") : new AppendResult.Appended(log.size());
          at(20, () -> deliver(c -> c.appendFinished(a.tag(), r, now)));
        } else if (action instanceof QuotaAction.SendTransferRequest a) {
          send(this, a.vm(), c -> c.transferRequested(id, a.id(), a.customer(), a.tokens(), now));
        } else if (action instanceof QuotaAction.SendTransfer t) {
          send(this, t.vm(), c -> c.transferReceived(t.id(), t.customer(), t.tokens(), now));
        } else if (action instanceof QuotaAction.GrantToEntry g) {
          granted(g);
        }
      }

      private void granted(QuotaAction.GrantToEntry g) {
        long remainingMs = askedMs.remove(g.id()) + QuotaSettings.DEFAULT.grantValidMs() - now;
        if (g.tokens() == 0 || remainingMs <= 0) {
          return;
        }
        long delay = injectFaults ? random.nextInt((int) remainingMs) : 0;
        unspent += g.tokens();
        at(
            delay,
            () -> {
              unspent -= g.tokens();
              admissions.add(new Admission(C, now, g.tokens()));
            });
        if (chance(20)) {
          long returned = random.nextInt((int) g.tokens()) - g.tokens() / 4;
          at(delay + random.nextInt(2_000), () -> returnTokens(returned));
        }
      }

      private void returnTokens(long tokens) {
        if (!dead && now >= pausedUntilMs) {
          admissions.add(new Admission(C, now, -Math.max(0, tokens)));
          deliver(c -> c.entryReturned(C, tokens, now));
        }
      }
    }
  }
}
