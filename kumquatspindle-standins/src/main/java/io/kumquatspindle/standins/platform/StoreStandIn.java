package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.standins.http.FaultInjector;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.HttpServerExchange;
import io.kumquatspindle.standins.http.StandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A simulation of the weight store, with limited bandwidth. It is used over HTTP or in process. */
public final class StoreStandIn implements StandIn, WeightSource {
  private final HttpHost host;
  private final FaultInjector<PlatformFaults> faults;
  private final TransferScheduler transfers;

  /**
   * Creates a weight store.
   *
   * @param host server that provides the timers
   * @param options speed and limits
   */
  public StoreStandIn(HttpHost host, StoreOptions options) {
    this.host = host;
    this.faults = new FaultInjector<>(host, PlatformFaults.class, PlatformFaults.NONE);
    this.transfers = new TransferScheduler(options, host.timers());
  }

  @Override
  public void handle(HttpServerExchange exchange) throws IOException {
    if (faults.handle(exchange, this::setSpeed)) {
      return;
    }
    if (exchange.matches("GET", "/stats")) {
      exchange.reply(200, Map.of("started", transfers.started()));
    } else if (exchange.matches("GET", "/store")) {
      PlatformFaults f = faults.current();
      if (f.out()) {
        exchange.reply(503, Map.of("error", "weight store is out"));
      } else if (!f.hang()) {
        exchange.reply(200, transfers.status());
      }
    } else if (exchange.matches("POST", "/transfers")) {
      Order order = Json.decode(exchange.body(), Order.class);
      fetch(order.artifact, order.megabytes)
          .whenComplete(
              (v, e) -> exchange.reply(e == null ? 200 : 503, Map.of("artifact", order.artifact)));
    } else {
      exchange.reply(404, Map.of("error", "no such path"));
    }
  }

  @Override
  public CompletableFuture<Void> fetch(String artifact, double megabytes) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    PlatformFaults f = faults.consume(t -> true);
    if (f.out()) {
      result.completeExceptionally(
          new IllegalStateException("weight store is unavailable (injected fault)"));
    } else if (!f.hang()) {
      Runnable start = () -> transfers.start(megabytes, () -> result.complete(null));
      host.timers().after(Duration.ofMillis(f.slowMs()), start);
    }
    return result;
  }

  private void setSpeed(PlatformFaults f) {
    transfers.setSpeedFactor(f.speedFactor() == 0 ? 1 : f.speedFactor());
  }

  private record Order(String artifact, double megabytes) {}
}
