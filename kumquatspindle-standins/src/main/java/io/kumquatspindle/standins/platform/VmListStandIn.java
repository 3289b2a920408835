package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.ListedVm;
import io.kumquatspindle.standins.http.FaultInjector;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.HttpServerExchange;
import io.kumquatspindle.standins.http.StandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * A simulation of the platform's list of VMs. {@code PUT /vms} replaces the list; {@code GET /vms}
 * returns a replacement only after the configured lag.
 */
public final class VmListStandIn implements StandIn {
  private final HttpHost host;
  private final FaultInjector<PlatformFaults> faults;
  private final Deque<Version> versions = new ArrayDeque<>();
  private Duration lag;

  /**
   * Creates a list.
   *
   * @param host server that provides the timers
   * @param lag time from a change until it is visible to readers
   * @param vms the initial list, visible immediately
   */
  public VmListStandIn(HttpHost host, Duration lag, List<ListedVm> vms) {
    this.host = host;
    this.faults = new FaultInjector<>(host, PlatformFaults.class, PlatformFaults.NONE);
    this.lag = lag;
    versions.add(new Version(System.nanoTime(), List.copyOf(vms)));
  }

  @Override
  public void handle(HttpServerExchange exchange) throws IOException {
    if (faults.handle(exchange, this::setLag)) {
      return;
    }
    if (exchange.matches("PUT", "/vms")) {
      replace(Arrays.asList(Json.strictMapper().readValue(exchange.body(), ListedVm[].class)));
      exchange.reply(200, Map.of());
    } else if (exchange.matches("GET", "/vms")) {
      read(exchange, faults.consume(f -> true));
    } else {
      exchange.reply(404, Map.of("error", "no such path"));
    }
  }

  private void read(HttpServerExchange exchange, PlatformFaults f) {
    if (f.hang()) {
      return;
    }
    if (f.out()) {
      exchange.reply(503, Map.of("error", "VM list is out"));
    } else {
      host.timers().after(Duration.ofMillis(f.slowMs()), () -> exchange.reply(200, visible()));
    }
  }

  private synchronized void setLag(PlatformFaults f) {
    if (f.lagMs() > 0) {
      lag = Duration.ofMillis(f.lagMs());
    }
  }

  private synchronized void replace(List<ListedVm> vms) {
    versions.addLast(new Version(System.nanoTime() + lag.toNanos(), vms));
  }

  private synchronized List<ListedVm> visible() {
    long now = System.nanoTime();
    Version newest = versions.getFirst();
    for (Version v : versions) {
      if (v.visibleFrom - now <= 0) {
        newest = v;
      }
    }
    while (versions.getFirst() != newest) {
      versions.removeFirst();
    }
    return newest.vms;
  }

  private record Version(long visibleFrom, List<ListedVm> vms) {}
}
