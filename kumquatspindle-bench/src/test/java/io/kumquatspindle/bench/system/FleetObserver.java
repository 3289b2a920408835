package io.kumquatspindle.bench.system;

import io.kumquatspindle.bench.history.History;
import io.kumquatspindle.bench.history.TicketChecker;
import io.kumquatspindle.bench.processes.SiteVm;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** Asks every VM over and over which tickets are in force there, and records what it learns. */
final class FleetObserver implements AutoCloseable {
  // Between looks at what a VM has in force: its resolution of the time at which a change shows.
  private static final long PERIOD_MS = 50;
  private static final Duration TIMEOUT = Duration.ofMillis(1_000);

  private final History history;
  private final Map<Long, Probe> probes = new ConcurrentSkipListMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  /** Returns the content in force at a VM, or {@code none} or {@code unknown}. */
  @FunctionalInterface
  interface Probe {
    String content(SiteVm vm);
  }

  FleetObserver(History history, List<SiteVm> vms) {
    this.history = history;
    for (SiteVm vm : vms) {
      Thread t = new Thread(() -> observe(vm), "observe-" + vm.id());
      t.setDaemon(true);
      threads.add(t);
      t.start();
    }
  }

  /** Observes a ticket that makes keys valid, each key another content. */
  void keys(long number, List<String> keys) {
    probes.put(number, vm -> acceptedKeys(vm, keys));
  }

  /** Observes a ticket that withdraws a key. */
  void withdrawal(long number, String key) {
    probes.put(number, vm -> withdrawn(vm, key));
  }

  private static String acceptedKeys(SiteVm vm, List<String> keys) {
    List<String> accepted = new ArrayList<>();
    for (String key : keys) {
      Http.Reply r = ask(vm, key);
      if (r.status() == 200) {
        accepted.add(key);
      } else if (!r.errorCode().equals("unknown_key")) {
        return TicketChecker.UNKNOWN;
      }
    }
    return accepted.isEmpty() ? TicketChecker.NONE : String.join("+", accepted);
  }

  private static String withdrawn(SiteVm vm, String key) {
    Http.Reply r = ask(vm, key);
    if (r.status() == 200) {
      return TicketChecker.NONE;
    }
    return r.errorCode().equals("key_withdrawn") ? "withdrawn" : TicketChecker.UNKNOWN;
  }

  static Http.Reply ask(SiteVm vm, String key) {
    return Http.get(vm.callerUrl().resolve("/v1/models"), Http.key(key), TIMEOUT);
  }

  private void observe(SiteVm vm) {
    try {
      while (!closed) {
        for (Map.Entry<Long, Probe> p : probes.entrySet()) {
          history.record(
              vm.id().value(),
              TicketChecker.OBSERVE,
              p.getKey().toString(),
              () -> p.getValue().content(vm));
        }
        Thread.sleep(PERIOD_MS);
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
