package io.kumquatspindle.bench.slopes;

import io.kumquatspindle.api.message.EntryMessage.EntryHello;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.time.SystemTimerService;
import io.kumquatspindle.bench.processes.Pause;
import io.kumquatspindle.bench.tickets.LargeTickets;
import io.kumquatspindle.bench.tickets.SiteTickets;
import io.kumquatspindle.transport.link.Link;
import io.kumquatspindle.transport.link.LinkClient;
import io.kumquatspindle.transport.link.LinkListener;
import io.kumquatspindle.transport.link.LinkRuntime;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** Connects to a control process like an entry process and requests models at a fixed rate. */
final class LoadDriver implements AutoCloseable {
  private static final long DEADLINE_MS = 10_000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long CONNECT_POLL_MS = 10;

  private final LinkRuntime runtime = LinkRuntime.start(1, "load-driver");
  private final SystemTimerService timers = new SystemTimerService("load-driver");
  private final AtomicInteger next = new AtomicInteger();
  private final LinkClient client;
  private final int models;

  LoadDriver(Fleet fleet, Row parameters) throws IOException {
    models = LargeTickets.modelCount(parameters.artifacts());
    client =
        LinkClient.builder(runtime, new Hello())
            .address(fleet.site().vms().get(0).controlPeerAddress())
            .heartbeat(Duration.ofMillis(500))
            .start();
    while (client.current().isEmpty()) {
      Pause.sleep(Duration.ofMillis(CONNECT_POLL_MS));
    }
    if (parameters.loadsPerSecond() > 0) {
      long micros = Math.round(MICROS_PER_SECOND / parameters.loadsPerSecond());
      timers.every(Duration.ofNanos(micros * 1000), this::requestNextModel);
    }
  }

  private void requestNextModel() {
    int index = next.getAndIncrement() % models;
    ModelWanted wanted =
        new ModelWanted(LargeTickets.modelName(index), SiteTickets.CUSTOMER, 1, DEADLINE_MS);
    client.current().ifPresent(link -> link.send(wanted));
  }

  @Override
  public void close() {
    timers.close();
    client.close();
    runtime.close();
  }

  /** Identifies the driver as an entry process when the link opens. */
  private static final class Hello implements LinkListener {
    @Override
    public void opened(Link link) {
      link.send(new EntryHello(VmId.of("vm-1"), "load-driver", EntryHello.PROTOCOL));
    }

    @Override
    public void received(Link link, Envelope envelope) {}

    @Override
    public void closed(Link link, String reason) {}
  }
}
