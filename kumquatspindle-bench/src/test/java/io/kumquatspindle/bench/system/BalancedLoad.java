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
 * Callers that keep every VM under load, behind a balancer that sends requests only to VMs whose
 * entry reports that it is ready.
 */
final class BalancedLoad implements AutoCloseable {
  private static final int STREAMS_PER_VM = 4;
  private static final int CALLS_PER_VM = 4;
  private static final int TOKENS = 25;

  // Between looks at readiness, and after a refusal, as a balancer does.
  private static final long CHECK_MS = 50;
  private static final Duration CHECK_TIMEOUT = Duration.ofMillis(500);

  private final History history;
  private final List<SiteVm> vms;
  private final String key;
  private final String model;
  private final Set<SiteVm> ready = ConcurrentHashMap.newKeySet();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicLong ids = new AtomicLong();
  private volatile boolean closed;

  BalancedLoad(History history, List<SiteVm> vms, String key, String model) {
    this.history = history;
    this.vms = vms;
    this.key = key;
    this.model = model;
    for (SiteVm vm : vms) {
      start(() -> check(vm));
      for (int i = 0; i < STREAMS_PER_VM; i++) {
        start(() -> repeat(vm, this::stream));
      }
      for (int i = 0; i < CALLS_PER_VM; i++) {
        start(() -> repeat(vm, this::call));
      }
    }
  }

  /** Waits until every VM has given a number of whole answers from now on. */
  void awaitAnswers(int count) throws Exception {
    long from = System.nanoTime();
    for (SiteVm vm : vms) {
      Waiting.until(
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

  private void start(Runnable work) {
    Thread t = new Thread(work, "load");
    t.setDaemon(true);
    threads.add(t);
    t.start();
  }

  private void check(SiteVm vm) {
    while (!closed) {
      boolean now =
          Http.get(vm.entryAdminUrl().resolve("/health/ready"), Map.of(), CHECK_TIMEOUT).status()
              == 200;
      if (now) {
        ready.add(vm);
      } else {
        ready.remove(vm);
      }
      pause();
    }
  }

  private void repeat(SiteVm vm, Request request) {
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

  private String stream(SiteVm vm, String id) {
    String body = new String(new ChatRequest(model, id, TOKENS).body(), StandardCharsets.UTF_8);
    Http.Reply r = Http.post(vm.callerUrl().resolve("/v1/chat/completions"), Http.key(key), body);
    return outcome(r, r.body().contains("data: [DONE]"));
  }

  private String call(SiteVm vm, String id) {
    Http.Reply r =
        Http.post(
            vm.callerUrl().resolve("/services/dispatch/notices"),
            Http.key(key),
            "{\"call_id\":\"" + id + "\"}");
    return outcome(r, r.body().contains("\"" + id + "\""));
  }

  private static String outcome(Http.Reply r, boolean complete) {
    if (r.status() == 200) {
      return complete ? ShutdownChecker.COMPLETE : "cut: " + r.body();
    }
    return r.ran().equals(ShutdownChecker.NOT_RUN) ? ShutdownChecker.NOT_RUN : r.toString();
  }

  private static void pause() {
    try {
      Thread.sleep(CHECK_MS);
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
