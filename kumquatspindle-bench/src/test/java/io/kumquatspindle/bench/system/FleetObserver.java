package io.kumquatspindle.bench.system;

import io.kumquatspindle.bench.history.History;
import io.kumquatspindle.bench.history.TicketChecker;
import io.kumquatspindle.bench.processes.SiteVm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** Polls every VM for the tickets in effect there, and records the results in a history. */
final class FleetObserver implements AutoCloseable {
  // Resolution of the time at which a VM is seen to apply a ticket.
  private static final long POLL_INTERVAL_MS = 50;
  private static final Duration TIMEOUT = Duration.ofMillis(1_000);

  private final History history;
  private final Map<Long, Probe> probes = new ConcurrentSkipListMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  /** Returns the content in effect at a VM, or {@code none} or {@code unknown}. */
  @FunctionalInterface
  interface Probe {
    String content(SiteVm vm);
  }

  FleetObserver(History history, List<SiteVm> vms) {
    this.history = history;
    for (SiteVm vm : vms) {
      Thread t = new Thread(() -> pollUntilClosed(vm), "observe-" + vm.id());
      t.setDaemon(true);
      threads.add(t);
      t.start();
    }
  }

  /** Observes a ticket number; each key stands for the content that makes it valid. */
  void observeKeys(long number, List<String> keys) {
    probes.put(number, vm -> acceptedKeys(vm, keys));
  }

  /** Observes a ticket that withdraws a key. */
  void observeWithdrawal(long number, String key) {
    probes.put(number, vm -> withdrawalState(vm, key));
  }

  private static String acceptedKeys(SiteVm vm, List<String> keys) {
    List<String> accepted = new ArrayList<>();
    for (String key : keys) {
      Http.Reply r = getModels(vm, key);
      if (r.status() == 200) {
        accepted.add(key);
      } else if (!r.errorCode().equals("unknown_key")) {
        return TicketChecker.UNKNOWN;
      }
    }
    return accepted.isEmpty() ? TicketChecker.NONE : String.join("+", accepted);
  }

  private static String withdrawalState(SiteVm vm, String key) {
    Http.Reply r = getModels(vm, key);
    if (r.status() == 200) {
      return TicketChecker.NONE;
    }
    return r.errorCode().equals("key_withdrawn") ? "withdrawn" : TicketChecker.UNKNOWN;
  }

  static Http.Reply getModels(SiteVm vm, String key) {
    return Http.get(vm.callerUrl().resolve("/v1/models"), Http.authorization(key), TIMEOUT);
  }

  private void pollUntilClosed(SiteVm vm) {
    try {
      while (!closed) {
        for (Map.Entry<Long, Probe> p : probes.entrySet()) {
          history.record(
              vm.id().value(),
              TicketChecker.OBSERVE,
              p.getKey().toString(),
              () -> p.getValue().content(vm));
        }
        Thread.sleep(POLL_INTERVAL_MS);
      }
    } catch (Exception e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws InterruptedException {
    closed = true;
    for (Thread t : threads) {
      t.join();
    }
  }
}
