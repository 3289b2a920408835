package io.kumquatspindle.bench.system;

import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.history.History;
import io.kumquatspindle.bench.history.Operation;
import io.kumquatspindle.bench.history.ShutdownChecker;
import io.kumquatspindle.bench.processes.SiteVm;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps every VM under load, like callers behind a load balancer that sends requests only to VMs
 * whose entry passes its readiness check.
 */
final class BalancedLoadGenerator implements AutoCloseable {
  private static final int STREAMS_PER_VM = 4;
  private static final int CALLS_PER_VM = 4;
  private static final int TOKENS = 25;

  // Interval between readiness checks, and the pause of a caller after a refusal or while its VM is
  // not ready.
  private static final long POLL_INTERVAL_MS = 50;
  private static final Duration READINESS_TIMEOUT = Duration.ofMillis(500);

  private final History history;
  private final List<SiteVm> vms;
  private final String key;
  private final String model;
  private final Set<SiteVm> ready = ConcurrentHashMap.newKeySet();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicLong ids = new AtomicLong();
  private volatile boolean closed;

  BalancedLoadGenerator(History history, List<SiteVm> vms, String key, String model) {
    this.history = history;
    this.vms = vms;
    this.key = key;
    this.model = model;
    for (SiteVm vm : vms) {
      startThread(() -> pollReadiness(vm));
      for (int i = 0; i < STREAMS_PER_VM; i++) {
        startThread(() -> sendRepeatedly(vm, this::sendStream));
      }
      for (int i = 0; i < CALLS_PER_VM; i++) {
        startThread(() -> sendRepeatedly(vm, this::sendCall));
      }
    }
  }

  /** Waits until every VM has given the number of whole answers to requests sent from now on. */
  void awaitAnswers(int count) throws Exception {
    long from = System.nanoTime();
    for (SiteVm vm : vms) {
      Polling.until(
          "answers of " + vm.id(),
          Duration.ofSeconds(20),
          () ->
              history.withAction(ShutdownChecker.REQUEST).stream()
                      .filter(o -> o.actor().equals(vm.id().value()) && o.beganAfter(from))
                      .filter(o -> o.outcome().equals(ShutdownChecker.COMPLETE))
                      .count()
                  >= count);
    }
  }

  private interface Request {
    String send(SiteVm vm, String id);
  }

  private void startThread(Runnable work) {
    Thread t = new Thread(work, "load");
    t.setDaemon(true);
    threads.add(t);
    t.start();
  }

  private void pollReadiness(SiteVm vm) {
    while (!closed) {
      boolean isReady =
          Http.get(vm.entryAdminUrl().resolve("/health/ready"), Map.of(), READINESS_TIMEOUT)
                  .status()
              == 200;
      if (isReady) {
        ready.add(vm);
      } else {
        ready.remove(vm);
      }
      pause();
    }
  }

  private void sendRepeatedly(SiteVm vm, Request request) {
    while (!closed) {
      if (!ready.contains(vm)) {
        pause();
        continue;
      }
      String id = "r" + ids.incrementAndGet();
      long invoked = System.nanoTime();
      String outcome = request.send(vm, id);
      history.add(
          new Operation(
              vm.id().value(), ShutdownChecker.REQUEST, id, outcome, invoked, System.nanoTime()));
      if (!outcome.equals(ShutdownChecker.COMPLETE)) {
        pause();
      }
    }
  }

  private String sendStream(SiteVm vm, String id) {
    String body = new String(new ChatRequest(model, id, TOKENS).body(), StandardCharsets.UTF_8);
    Http.Reply r =
        Http.post(vm.callerUrl().resolve("/v1/chat/completions"), Http.authorization(key), body);
    return outcome(r, r.body().contains("data: [DONE]"));
  }

  private String sendCall(SiteVm vm, String id) {
    Http.Reply r =
        Http.post(
            vm.callerUrl().resolve("/services/dispatch/notices"),
            Http.authorization(key),
            "{\"call_id\":\"" + id + "\"}");
    return outcome(r, r.body().contains("\"" + id + "\""));
  }

  private static String outcome(Http.Reply r, boolean complete) {
    if (r.status() == 200) {
      return complete ? ShutdownChecker.COMPLETE : "truncated: " + r.body();
    }
    return r.ran().equals(ShutdownChecker.NOT_RUN) ? ShutdownChecker.NOT_RUN : r.toString();
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
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
