package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.Exchange;
import io.kumquatspindle.standins.http.FaultSwitch;
import io.kumquatspindle.standins.http.History;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.StandIn;
import io.kumquatspindle.standins.platform.WeightSource;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;

/** A model engine. */
public final class EngineStandIn implements StandIn {
  private final EngineOptions options;
  private final HttpHost host;
  private final FaultSwitch<EngineFaults> faults;
  private final EngineMemory memory;
  private final CheckpointCache checkpoints;
  private final EngineOrders orders;
  private final EngineReporter reporter;
  private final History<RequestRecord> history;
  private final AtomicReference<Optional<Identity>> previous =
      new AtomicReference<>(Optional.empty());
  private volatile WorkGate gate;

  /**
   * Creates an engine with no artifact loaded.
   *
   * @param host gives the timers
   * @param options size, speed and limits
   * @param adapterLoads counter that all engines of the process share
   * @param store where checkpoints come from that the engine does not have
   */
  public EngineStandIn(
      HttpHost host, EngineOptions options, AdapterLoads adapterLoads, WeightSource store) {
    this.host = host;
    this.options = options;
    this.faults = new FaultSwitch<>(host, EngineFaults.class, EngineFaults.NONE);
    this.memory = new EngineMemory(options.memoryMb());
    this.checkpoints = new CheckpointCache(options, host.timers(), adapterLoads, store);
    this.orders = new EngineOrders(options, host.timers(), faults, memory, checkpoints);
    this.history = new History<>(options.history());
    this.gate = newGate();
    this.reporter =
        new EngineReporter(options, host.timers(), memory, checkpoints, () -> gate, faults);
  }

  @Override
  public void handle(Exchange x) throws IOException {
    if (faults.handle(x, f -> restartIfAsked(x, f))) {
      return;
    }
    switch (x.method() + " " + x.path()) {
      case "POST /orders/load" -> orders.load(x);
      case "POST /orders/unload" -> orders.unload(x);
      case "POST /v1/chat/completions", "POST /v1/completions" -> complete(x);
      case "GET /report" -> reporter.answer(x);
      case "GET /history" -> x.reply(200, historyPage());
      case "GET /stats" -> x.reply(200, stats());
      case "DELETE /history" -> {
        history.clear();
        orders.history().clear();
        x.reply(200, Map.of());
      }
      default -> x.set("x-not-run", "true").reply(404, Map.of("error", "no such path"));
    }
  }

  private void complete(Exchange x) throws IOException {
    RequestRecord log = new RequestRecord(x);
    history.add(log);
    CompletionRequest r = CompletionRequest.parse(x.path(), x.body(), options.answerTokens());
    log.model(r.model());
    EngineFaults f = faults.take(EngineFaults::affectsRequests);
    Identity own = new Identity(x.header("x-request-id").orElseGet(this::newId), r);
    Identity answered = identity(own, f);
    if (f.refuse()) {
      refuse(x, log, 503, "engine takes no work");
    } else if (f.hang()) {
      log.outcome("hung");
    } else if (!memory.isLoaded(r.model())) {
      refuse(x, log, 404, "not loaded: " + r.model());
    } else {
      run(x, answered, f, log);
    }
  }

  private void run(Exchange x, Identity identity, EngineFaults f, RequestRecord log) {
    WorkGate entered = gate;
    String incarnation = memory.incarnation();
    String model = identity.request.model();
    memory.requestStarted(model);
    Runnable ended =
        () -> {
          memory.requestEnded(model, incarnation);
          entered.leave();
        };
    Completion c =
        new Completion(options, host.timers(), x, identity.request, identity.id, f, log, ended);
    if (!entered.enter(c::start)) {
      memory.requestEnded(model, incarnation);
      refuse(x, log, 503, "too many requests wait");
    }
  }

  private static void refuse(Exchange x, RequestRecord log, int status, String reason) {
    log.outcome("refused");
    x.set("x-not-run", "true");
    x.header("x-request-id").ifPresent(id -> x.set("x-request-id", id));
    x.reply(status, Map.of("error", reason));
  }

  /** Returns whose answer is sent: the request's own or, crossed, that of the previous one. */
  private Identity identity(Identity own, EngineFaults f) {
    Optional<Identity> other = previous.getAndSet(Optional.of(own));
    if (!f.crossAnswers()) {
      return own;
    }
    String id = other.map(o -> o.id).orElseGet(() -> "crossed-" + newId());
    CompletionRequest r = own.request;
    String digest = other.map(o -> o.request.digest()).orElse("crossed");
    return new Identity(
        id,
        new CompletionRequest(
            r.chat(), r.model(), r.stream(), r.tokens(), r.promptTokens(), digest));
  }

  private void restartIfAsked(Exchange x, EngineFaults f) {
    if (f.restart()) {
      memory.restart();
      checkpoints.restart();
      gate = newGate();
      // The answer to POST /faults must leave before the connections are closed.
      host.timers().after(Duration.ofMillis(50), x.listener()::breakConnections);
    }
  }

  private Map<String, Object> historyPage() {
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("total", history.total());
    page.put("requests", history.entries());
    page.put("orders", orders.history().entries());
    return page;
  }

  private Map<String, Object> stats() {
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("memoryMb", options.memoryMb());
    page.put("usedMb", memory.usedMb());
    page.put("requests", history.total());
    page.put("violations", memory.violations());
    return page;
  }

  private WorkGate newGate() {
    return new WorkGate(host.timers(), options.capacity(), options.maxWaiting());
  }

  private String newId() {
    return UUID.randomUUID().toString();
  }

  private record Identity(String id, CompletionRequest request) {}
}
