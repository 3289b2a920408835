package io.kumquatspindle.bench.slopes;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.bench.WorkDirectory;
import io.kumquatspindle.bench.client.ChatClient;
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

/** Running fleet of control processes that have a configuration in force. */
final class Fleet implements AutoCloseable {
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(30);
  private static final long POLL_MS = 20;
  private static final int UNLIMITED = 100_000;

  private final WorkDirectory directory;
  private final TestSite site;
  private final Row parameters;
  private final ChatClient client = new ChatClient(PAGE_TIMEOUT);
  private final HttpLogService log;
  private long lastTicket;

  private Fleet(WorkDirectory directory, TestSite site, Row parameters) {
    this.directory = directory;
    this.site = site;
    this.parameters = parameters;
    this.log = HttpLogService.builder(site.standInUrl("log").toString()).build();
  }

  /** Starts a fleet and waits until its first ticket is in force on all VMs. */
  static Fleet start(Row parameters, boolean startsEntries) throws IOException {
    WorkDirectory directory = WorkDirectory.create("kumquatspindle-slopes-");
    TestSite.Builder b =
        TestSite.builder(BuildTree.current(), directory.path())
            .domains(domains(parameters.domains()))
            .vmsPerDomain(parameters.vms() / parameters.domains())
            .endpoints(parameters.endpoints(), 0)
            .standInSetting("engines.history", 0)
            .standInSetting("store.loads_per_minute", UNLIMITED)
            .controlSetting("placement.idle_limit_ms", 2_000);
    TestSite site = (startsEntries ? b : b.controlsOnly()).start();
    Fleet fleet = new Fleet(directory, site, parameters);
    try {
      fleet.file(LargeTickets.initialTicket(site, parameters.artifacts()));
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

  /** Files a ticket with the next adapter change. */
  synchronized void fileChange() throws IOException {
    file(LargeTickets.adapterChange(lastTicket + 1, parameters.artifacts()));
  }

  private synchronized void file(Ticket ticket) throws IOException {
    AppendResult r = log.append(StreamName.TICKETS, Json.encode(ticket));
    if (!(r instanceof AppendResult.Appended)) {
      throw new IOException("ticket " + ticket.number() + " was not appended to the log: " + r);
    }
    lastTicket = ticket.number();
  }

  /** Waits until the last ticket is in force on all VMs. */
  void awaitInForce() throws IOException {
    long end = System.nanoTime() + IN_FORCE_TIMEOUT.toNanos();
    for (SiteVm vm : site.vms()) {
      while (configurationNumber(vm) < lastTicket) {
        if (System.nanoTime() - end > 0) {
          throw new IOException("ticket " + lastTicket + " is not in force on " + vm.id());
        }
        Pause.sleep(Duration.ofMillis(POLL_MS));
      }
    }
  }

  private double configurationNumber(SiteVm vm) throws IOException {
    return metricsPage(vm).values().getOrDefault("configuration_number", 0.0);
  }

  MetricsPage metricsPage(SiteVm vm) throws IOException {
    String text = client.get(vm.controlAdminUrl().resolve("/metrics"), Optional.empty()).body();
    return MetricsPage.parse(text, System.nanoTime());
  }

  Map<SiteVm, MetricsPage> metricsPages(List<SiteVm> vms) throws IOException {
    Map<SiteVm, MetricsPage> pages = new LinkedHashMap<>();
    for (SiteVm vm : vms) {
      pages.put(vm, metricsPage(vm));
    }
    return pages;
  }

  /** Returns the heap usage of a control process right after a garbage collection, in bytes. */
  double liveHeap(SiteVm vm) throws IOException {
    Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    Process p =
        new ProcessBuilder(jcmd.toString(), Long.toString(vm.control().pid()), "GC.run")
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectErrorStream(true)
            .start();
    try {
      if (p.waitFor() != 0) {
        throw new IOException("jcmd GC.run failed for the control process of " + vm.id());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting for jcmd", e);
    }
    return metricsPage(vm).values().get("jvm_heap_used_bytes");
  }

  /** Kills all processes, since a graceful stop would take longer than the measurement itself. */
  @Override
  public void close() throws IOException {
    client.close();
    site.close();
    directory.delete();
  }
}
