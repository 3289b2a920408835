package io.kumquatspindle.bench.slopes;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.bench.WorkDirectory;
import io.kumquatspindle.bench.caller.Caller;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.Pause;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.LargeTickets;
import io.kumquatspindle.transport.platform.HttpLogService;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

/** A running fleet of control processes with a configuration in force. */
final class Fleet implements AutoCloseable {
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(30);
  private static final long POLL_MS = 20;
  private static final int UNLIMITED = 100_000;

  private final WorkDirectory directory;
  private final TestSite site;
  private final Row row;
  private final Caller caller = new Caller(PAGE_TIMEOUT);
  private final HttpLogService log;
  private long lastTicket;

  private Fleet(WorkDirectory directory, TestSite site, Row row) {
    this.directory = directory;
    this.site = site;
    this.row = row;
    this.log = HttpLogService.builder(site.url("log").toString()).build();
  }

  /** Starts the fleet and waits until its first ticket is in force everywhere. */
  static Fleet start(Row row, boolean entries) throws IOException {
    WorkDirectory directory = WorkDirectory.create("kumquatspindle-slopes-");
    TestSite.Builder b =
        TestSite.builder(BuildTree.own(), directory.path())
            .domains(domains(row.domains()))
            .vmsPerDomain(row.vms() / row.domains())
            .endpoints(row.endpoints(), 0)
            .standIns("engines.history", 0)
            .standIns("store.loads_per_minute", UNLIMITED)
            .control("placement.idle_limit_ms", 2_000);
    TestSite site = (entries ? b : b.controlsOnly()).start();
    Fleet fleet = new Fleet(directory, site, row);
    try {
      fleet.file(LargeTickets.first(site, row.artifacts()));
      fleet.awaitInForce();
    } catch (IOException e) {
      fleet.close();
      throw e;
    }
    return fleet;
  }

  private static String[] domains(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(i -> "domain-" + i).toArray(String[]::new);
  }

  TestSite site() {
    return site;
  }

  /** Files the next change. */
  synchronized void change() throws IOException {
    file(LargeTickets.change(lastTicket + 1, row.artifacts()));
  }

  private synchronized void file(Ticket ticket) throws IOException {
    AppendResult r = log.append(StreamName.TICKETS, Json.encode(ticket));
    if (!(r instanceof AppendResult.Appended)) {
      throw new IOException("ticket " + ticket.number() + ": " + r);
    }
    lastTicket = ticket.number();
  }

  /** Waits until the last ticket is in force at all VMs. */
  void awaitInForce() throws IOException {
    long end = System.nanoTime() + IN_FORCE_LIMIT.toNanos();
    for (SiteVm vm : site.vms()) {
      while (number(vm) < lastTicket) {
        if (System.nanoTime() - end > 0) {
          throw new IOException("ticket " + lastTicket + " is not in force at " + vm.id());
        }
        Pause.of(Duration.ofMillis(POLL_MS));
      }
    }
  }

  private double number(SiteVm vm) throws IOException {
    return page(vm).values().getOrDefault("configuration_number", 0.0);
  }

  MetricsPage page(SiteVm vm) throws IOException {
    String text = caller.get(vm.controlAdmin().resolve("/metrics"), Optional.empty()).body();
    return MetricsPage.parse(text, System.nanoTime());
  }

  Map<SiteVm, MetricsPage> pages(List<SiteVm> vms) throws IOException {
    Map<SiteVm, MetricsPage> pages = new LinkedHashMap<>();
    for (SiteVm vm : vms) {
      pages.put(vm, page(vm));
    }
    return pages;
  }

  /** Returns heap in use of a control right after a collection, in bytes. */
  double liveHeap(SiteVm vm) throws IOException {
    Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    Process p =
        new ProcessBuilder(jcmd.toString(), Long.toString(vm.control().pid()), "GC.run")
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectErrorStream(true)
            .start();
    try {
      if (p.waitFor() != 0) {
        throw new IOException("no collection in " + vm.id());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
    return page(vm).values().get("jvm_heap_used_bytes");
  }

  /** Kills everything: a graceful stop of each row would take longer than its sample. */
  @Override
  public void close() throws IOException {
    caller.close();
    site.close();
    directory.delete();
  }
}
