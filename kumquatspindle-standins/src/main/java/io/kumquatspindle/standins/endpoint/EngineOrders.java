package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.BoundedHistory;
import io.kumquatspindle.standins.http.FaultInjector;
import io.kumquatspindle.standins.http.HttpServerExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Executes the load and unload orders of one engine. */
final class EngineOrders {
  private final TimerService timers;
  private final EngineOptions options;
  private final FaultInjector<EngineFaults> faults;
  private final EngineMemory memory;
  private final CheckpointCache checkpoints;
  private final BoundedHistory<OrderRecord> history;

  EngineOrders(
      EngineOptions options,
      TimerService timers,
      FaultInjector<EngineFaults> faults,
      EngineMemory memory,
      CheckpointCache checkpoints) {
    this.options = options;
    this.timers = timers;
    this.faults = faults;
    this.memory = memory;
    this.checkpoints = checkpoints;
    this.history = new BoundedHistory<>(options.history());
  }

  BoundedHistory<OrderRecord> history() {
    return history;
  }

  void load(HttpServerExchange exchange) throws IOException {
    Order order = Json.decode(exchange.body(), Order.class);
    EngineFaults f = faults.consume(EngineFaults::affectsOrders);
    runAfterDelay(f, () -> load(exchange, order, f));
  }

  void unload(HttpServerExchange exchange) throws IOException {
    Order order = Json.decode(exchange.body(), Order.class);
    EngineFaults f = faults.consume(EngineFaults::affectsOrders);
    runAfterDelay(f, () -> unload(exchange, order, f));
  }

  private void load(HttpServerExchange exchange, Order order, EngineFaults f) {
    if (isFenced(order, f)) {
      respond(exchange, "load", order, 409, f);
      return;
    }
    Runnable ended =
        () -> respond(exchange, "load", order, memory.isLoaded(order.artifact) ? 200 : 503, f);
    switch (memory.admit(order.artifact, order.modelName(), order.memoryMb, ended)) {
      case ALREADY_LOADED -> respond(exchange, "load", order, 200, f);
      case NO_MEMORY -> respond(exchange, "load", order, 507, f);
      case NO_MODEL -> respond(exchange, "load", order, 503, f);
      case START -> transfer(order, f);
      case JOIN -> {}
      default -> throw new AssertionError();
    }
  }

  private void transfer(Order order, EngineFaults f) {
    String incarnation = memory.incarnation();
    CompletableFuture<Void> loaded =
        order.modelName().isPresent()
            ? checkpoints.loadAdapter()
            : checkpoints.loadModel(order.artifact, order.memoryMb);
    loaded.whenComplete(
        (v, e) -> memory.finishLoad(order.artifact, incarnation, e == null && !f.failLoads()));
  }

  private void unload(HttpServerExchange exchange, Order order, EngineFaults f) {
    if (isFenced(order, f)) {
      respond(exchange, "unload", order, 409, f);
      return;
    }
    memory.unload(order.artifact);
    respond(exchange, "unload", order, 200, f);
  }

  private boolean isFenced(Order order, EngineFaults f) {
    return !memory.checkFencingNumber(
        order.artifact, order.fencingNumber, options.fencing() && !f.ignoreFencing());
  }

  private void respond(
      HttpServerExchange exchange, String kind, Order order, int status, EngineFaults f) {
    long now = System.currentTimeMillis();
    history.add(new OrderRecord(now, kind, order.artifact, order.fencingNumber, status));
    if (f.loseOrderAnswer()) {
      exchange.closeConnection();
    } else {
      exchange.reply(status, Map.of("artifact", order.artifact, "status", status));
    }
  }

  private void runAfterDelay(EngineFaults f, Runnable r) {
    if (f.orderDelayMs() > 0) {
      timers.after(Duration.ofMillis(f.orderDelayMs()), r);
    } else {
      r.run();
    }
  }

  private record Order(String artifact, String model, long memoryMb, long fencingNumber) {
    Order {
      if (artifact == null || artifact.isBlank()) {
        throw new IllegalArgumentException("an order needs an artifact");
      }
    }

    Optional<String> modelName() {
      return Optional.ofNullable(model).filter(s -> !s.isEmpty());
    }
  }

  /** An order with the status of its response, as returned by {@code GET /history}. */
  record OrderRecord(long timeMs, String kind, String artifact, long fencingNumber, int status) {}
}
