package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.Exchange;
import io.kumquatspindle.standins.http.FaultSwitch;
import io.kumquatspindle.standins.http.History;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Carries out load and unload orders of one engine. */
final class EngineOrders {
  private final TimerService timers;
  private final EngineOptions options;
  private final FaultSwitch<EngineFaults> faults;
  private final EngineMemory memory;
  private final CheckpointCache checkpoints;
  private final History<OrderRecord> history;

  EngineOrders(
      EngineOptions options,
      TimerService timers,
      FaultSwitch<EngineFaults> faults,
      EngineMemory memory,
      CheckpointCache checkpoints) {
    this.options = options;
    this.timers = timers;
    this.faults = faults;
    this.memory = memory;
    this.checkpoints = checkpoints;
    this.history = new History<>(options.history());
  }

  History<OrderRecord> history() {
    return history;
  }

  void load(Exchange x) throws IOException {
    Order o = Json.decode(x.body(), Order.class);
    EngineFaults f = faults.take(EngineFaults::affectsOrders);
    later(f, () -> load(x, o, f));
  }

  void unload(Exchange x) throws IOException {
    Order o = Json.decode(x.body(), Order.class);
    EngineFaults f = faults.take(EngineFaults::affectsOrders);
    later(f, () -> unload(x, o, f));
  }

  private void load(Exchange x, Order o, EngineFaults f) {
    if (fenced(o, f)) {
      answer(x, "load", o, 409, f);
      return;
    }
    Runnable ended = () -> answer(x, "load", o, memory.isLoaded(o.artifact) ? 200 : 503, f);
    switch (memory.admit(o.artifact, o.modelName(), o.memoryMb, ended)) {
      case ALREADY_LOADED -> answer(x, "load", o, 200, f);
      case NO_MEMORY -> answer(x, "load", o, 507, f);
      case NO_MODEL -> answer(x, "load", o, 503, f);
      case START -> transfer(o, f);
      case JOIN -> {}
      default -> throw new AssertionError();
    }
  }

  private void transfer(Order o, EngineFaults f) {
    String incarnation = memory.incarnation();
    CompletableFuture<Void> loaded =
        o.modelName().isPresent()
            ? checkpoints.loadAdapter()
            : checkpoints.loadModel(o.artifact, o.memoryMb);
    loaded.whenComplete(
        (v, e) -> memory.finish(o.artifact, incarnation, e == null && !f.failLoads()));
  }

  private void unload(Exchange x, Order o, EngineFaults f) {
    if (fenced(o, f)) {
      answer(x, "unload", o, 409, f);
      return;
    }
    memory.unload(o.artifact);
    answer(x, "unload", o, 200, f);
  }

  private boolean fenced(Order o, EngineFaults f) {
    return !memory.fence(o.artifact, o.fencingNumber, options.fencing() && !f.ignoreFencing());
  }

  private void answer(Exchange x, String kind, Order o, int status, EngineFaults f) {
    long now = System.currentTimeMillis();
    history.add(new OrderRecord(now, kind, o.artifact, o.fencingNumber, status));
    if (f.loseOrderAnswer()) {
      x.breakConnection();
    } else {
      x.reply(status, Map.of("artifact", o.artifact, "status", status));
    }
  }

  private void later(EngineFaults f, Runnable r) {
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

  /** An order with its answer, as {@code GET /history} shows it. */
  record OrderRecord(long timeMs, String kind, String artifact, long fencingNumber, int status) {}
}
