package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.standins.http.BoundedHistory;
import io.kumquatspindle.standins.http.FaultInjector;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.HttpServerExchange;
import io.kumquatspindle.standins.http.StandIn;
import io.kumquatspindle.standins.platform.WeightSource;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;

/** A simulation of a model engine. */
public final class EngineStandIn implements StandIn {
  private final EngineOptions options;
  private final HttpHost host;
  private final FaultInjector<EngineFaults> faults;
  private final EngineMemory memory;
  private final CheckpointCache checkpoints;
  private final EngineOrders orders;
  private final EngineReporter reporter;
  private final BoundedHistory<RequestRecord> history;
  private final AtomicReference<Optional<ResponseIdentity>> previousRequest =
      new AtomicReference<>(Optional.empty());
  private volatile ConcurrencyLimiter limiter;

  /**
   * Creates an engine with no artifact loaded.
   *
   * @param host server that provides the timers
   * @param options size, speed and limits
   * @param adapterLoads tracker that all engines of the process share
   * @param store source of checkpoints that are neither in main memory nor on disk
   */
  public EngineStandIn(
      HttpHost host, EngineOptions options, AdapterLoadTracker adapterLoads, WeightSource store) {
    this.host = host;
    this.options = options;
    this.faults = new FaultInjector<>(host, EngineFaults.class, EngineFaults.NONE);
    this.memory = new EngineMemory(options.memoryMb());
    this.checkpoints = new CheckpointCache(options, host.timers(), adapterLoads, store);
    this.orders = new EngineOrders(options, host.timers(), faults, memory, checkpoints);
    this.history = new BoundedHistory<>(options.history());
    this.limiter = newLimiter();
    this.reporter =
        new EngineReporter(options, host.timers(), memory, checkpoints, () -> limiter, faults);
  }

  @Override
  public void handle(HttpServerExchange exchange) throws IOException {
    if (faults.handle(exchange, f -> restartIfRequested(exchange, f))) {
      return;
    }
    switch (exchange.method() + " " + exchange.path()) {
      case "POST /orders/load" -> orders.load(exchange);
      case "POST /orders/unload" -> orders.unload(exchange);
      case "POST /v1/chat/completions", "POST /v1/completions" -> handleCompletion(exchange);
      case "GET /report" -> reporter.respond(exchange);
      case "GET /history" -> exchange.reply(200, historyPage());
      case "GET /stats" -> exchange.reply(200, stats());
      case "DELETE /history" -> {
        history.clear();
        orders.history().clear();
        exchange.reply(200, Map.of());
      }
      default ->
          exchange.setHeader("x-not-run", "true").reply(404, Map.of("error", "no such path"));
    }
  }

  private void handleCompletion(HttpServerExchange exchange) throws IOException {
    RequestRecord historyEntry = new RequestRecord(exchange);
    history.add(historyEntry);
    CompletionRequest r =
        CompletionRequest.parse(exchange.path(), exchange.body(), options.answerTokens());
    historyEntry.model(r.model());
    EngineFaults f = faults.consume(EngineFaults::affectsRequests);
    ResponseIdentity own =
        new ResponseIdentity(exchange.header("x-request-id").orElseGet(this::newId), r);
    ResponseIdentity responseIdentity = identity(own, f);
    if (f.refuse()) {
      reject(exchange, historyEntry, 503, "engine takes no work");
    } else if (f.hang()) {
      historyEntry.outcome("hung");
    } else if (!memory.isLoaded(r.model())) {
      reject(exchange, historyEntry, 404, "not loaded: " + r.model());
    } else {
      run(exchange, responseIdentity, f, historyEntry);
    }
  }

  private void run(
      HttpServerExchange exchange,
      ResponseIdentity identity,
      EngineFaults f,
      RequestRecord historyEntry) {
    ConcurrencyLimiter currentLimiter = limiter;
    String incarnation = memory.incarnation();
    String model = identity.request.model();
    memory.requestStarted(model);
    Runnable onEnd =
        () -> {
          memory.requestEnded(model, incarnation);
          currentLimiter.release();
        };
    Completion c =
        new Completion(
            options,
            host.timers(),
            exchange,
            identity.request,
            identity.id,
            f,
            historyEntry,
            onEnd);
    if (!currentLimiter.submit(c::start)) {
      memory.requestEnded(model, incarnation);
      reject(exchange, historyEntry, 503, "too many requests wait");
    }
  }

  private static void reject(
      HttpServerExchange exchange, RequestRecord historyEntry, int status, String reason) {
    historyEntry.outcome("refused");
    exchange.setHeader("x-not-run", "true");
    exchange.header("x-request-id").ifPresent(id -> exchange.setHeader("x-request-id", id));
    exchange.reply(status, Map.of("error", reason));
  }

  /**
   * Returns the id and content of the response: those of the request itself or, if responses are
   * crossed, those of the previous request.
   */
  private ResponseIdentity identity(ResponseIdentity own, EngineFaults f) {
    Optional<ResponseIdentity> previous = previousRequest.getAndSet(Optional.of(own));
    if (!f.crossAnswers()) {
      return own;
    }
    String id = previous.map(o -> o.id).orElseGet(() -> "crossed-" + newId());
    CompletionRequest r = own.request;
    String digest = previous.map(o -> o.request.digest()).orElse("crossed");
    return new ResponseIdentity(
        id,
        new CompletionRequest(
            r.chat(), r.model(), r.stream(), r.tokens(), r.promptTokens(), digest));
  }

  private void restartIfRequested(HttpServerExchange exchange, EngineFaults f) {
    if (f.restart()) {
      memory.restart();
      checkpoints.restart();
      limiter = newLimiter();
      // The response to POST /faults must be sent before the connections are closed.
      host.timers().after(Duration.ofMillis(50), exchange.listener()::closeConnections);
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

  private ConcurrencyLimiter newLimiter() {
    return new ConcurrencyLimiter(host.timers(), options.capacity(), options.maxWaiting());
  }

  private String newId() {
    return UUID.randomUUID().toString();
  }

  private record ResponseIdentity(String id, CompletionRequest request) {}
}
