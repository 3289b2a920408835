package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.standins.http.Exchange;
import io.kumquatspindle.standins.http.FaultSwitch;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.StandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** The weight store: limited transfers, over HTTP and in process. */
public final class StoreStandIn implements StandIn, WeightSource {
  private final HttpHost host;
  private final FaultSwitch<PlatformFaults> faults;
  private final Transfers transfers;

  /**
   * Creates a weight store.
   *
   * @param host gives the timers
   * @param options speed and limits
   */
  public StoreStandIn(HttpHost host, StoreOptions options) {
    this.host = host;
    this.faults = new FaultSwitch<>(host, PlatformFaults.class, PlatformFaults.NONE);
    this.transfers = new Transfers(options, host.timers());
  }

  @Override
  public void handle(Exchange x) throws IOException {
    if (faults.handle(x, this::setSpeed)) {
      return;
    }
    if (x.is("GET", "/stats")) {
      x.reply(200, Map.of("started", transfers.started()));
    } else if (x.is("GET", "/store")) {
      PlatformFaults f = faults.peek();
      if (f.out()) {
        x.reply(503, Map.of("error", "weight store is out"));
      } else if (!f.hang()) {
        x.reply(200, transfers.status());
      }
    } else if (x.is("POST", "/transfers")) {
      Order order = Json.decode(x.body(), Order.class);
      fetch(order.artifact, order.megabytes)
          .whenComplete(
              (v, e) -> x.reply(e == null ? 200 : 503, Map.of("artifact", order.artifact)));
    } else {
      x.reply(404, Map.of("error", "no such path"));
    }
  }

  @Override
  public CompletableFuture<Void> fetch(String artifact, double megabytes) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    PlatformFaults f = faults.take(t -> true);
    if (f.out()) {
      result.completeExceptionally(new IllegalStateException("weight store is out"));
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
