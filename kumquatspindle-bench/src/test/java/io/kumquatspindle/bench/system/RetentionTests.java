package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Proof of C13 for VMs that start when the log no longer has the tickets, or is out. */
@DisplayName("A VM that starts late")
class RetentionTests {
  private static final int RETENTION_MS = 8_000;
  private static final Duration LIMIT = Duration.ofSeconds(15);
  private static final String FIRST = "key-first";
  private static final String SECOND = "key-second";

  @TempDir Path dir;

  @Test
  @DisplayName("gets the whole state from the snapshot, or from a peer while the log is out")
  void getsState() throws Exception {
    try (TestSite site =
        TestSite.builder(BuildTree.current(), dir)
            .vmsPerDomain(2)
            .endpoints(0, 0)
            .standInSetting("log.retention_ms", RETENTION_MS)
            .controlSetting("platform.log_retention_ms", RETENTION_MS)
            .start()) {
      OperatorCommand operator = new OperatorCommand(BuildTree.current(), site);
      assertEquals(
          0, operator.file(SiteTickets.initialTicket(site, FIRST, List.of())).status().orElse(-1));
      assertEquals(0, operator.file(TestTickets.addKey(2, SECOND)).status().orElse(-1));
      awaitExpired(site);
      // The second round guards against VMs that know the state only from a snapshot and let the
      // last snapshot expire.
      for (int round = 0; round < 2; round++) {
        if (round > 0) {
          awaitSnapshotsExpired(site);
        }
        awaitNewSnapshot(site);
        site.vms().forEach(SiteVm::kill);
        for (SiteVm vm : site.vms()) {
          start(vm);
          assertKeys(vm);
        }
      }
      Http.faults(site.standInUrl("log"), "{\"out\":true}");
      SiteVm late = site.vms().get(1);
      late.kill();
      start(late);
      assertKeys(late);
    }
  }

  private static void start(SiteVm vm) throws Exception {
    vm.startControl();
    vm.startEntry();
    vm.awaitReady();
  }

  private static void assertKeys(SiteVm vm) throws Exception {
    for (String key : List.of(FIRST, SECOND)) {
      Waiting.until(
          key + " at " + vm.id(), LIMIT, () -> FleetObserver.ask(vm, key).status() == 200);
    }
    assertEquals(
        2, Http.json(vm.controlAdminUrl().resolve("/status")).path("number").asLong(), "number");
  }

  private static JsonNode stats(TestSite site) throws Exception {
    return Http.json(site.standInUrl("log").resolve("/stats"));
  }

  private static void awaitExpired(TestSite site) throws Exception {
    Waiting.until(
        "the end of the retention time",
        LIMIT,
        () -> {
          JsonNode t = stats(site).path("tickets");
          return t.path("earliest").asLong() == t.path("end").asLong();
        });
  }

  private static void awaitSnapshotsExpired(TestSite site) throws Exception {
    long end = stats(site).path("snapshots").path("end").asLong();
    Waiting.until(
        "the end of the present snapshots",
        LIMIT,
        () -> stats(site).path("snapshots").path("earliest").asLong() >= end);
  }

  /** Waits until a snapshot is written, so that it outlasts the restart that follows. */
  private static void awaitNewSnapshot(TestSite site) throws Exception {
    long end = stats(site).path("snapshots").path("end").asLong();
    Waiting.until(
        "a new snapshot", LIMIT, () -> stats(site).path("snapshots").path("end").asLong() > end);
  }
}
