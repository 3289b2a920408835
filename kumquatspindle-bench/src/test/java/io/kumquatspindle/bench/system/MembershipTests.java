package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against stale membership: while a dead VM is considered alive, its work is not taken over.
 */
@DisplayName("Members of a failure domain")
class MembershipTests {
  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final String ALIVE = "ALIVE";
  private static final long POLL_INTERVAL_MS = 50;

  @TempDir Path dir;

  @Test
  @DisplayName("detect a killed VM in time without the VM list, and its return")
  void detectsKilledVm() throws Exception {
    try (TestSite site =
        TestSite.builder(BuildTree.current(), dir).vmsPerDomain(4).endpoints(0, 0).start()) {
      SiteVm victim = site.vms().get(0);
      List<SiteVm> others = site.vms().subList(1, site.vms().size());
      for (SiteVm vm : others) {
        Polling.until(
            "all members at " + vm.id(), BOUND, () -> memberState(vm, victim).equals(ALIVE));
      }
      Http.setFaults(site.standInUrl("vm_list"), "{\"out\":true}");
      victim.kill();
      long killedNanos = System.nanoTime();
      for (SiteVm vm : others) {
        Duration remaining = BOUND.minusNanos(System.nanoTime() - killedNanos);
        Polling.until(
            "detection of the failure at " + vm.id(),
            remaining,
            () -> !memberState(vm, victim).equals(ALIVE));
      }
      // Gossip from a VM that has not detected the failure yet must not revive the dead member.
      while (System.nanoTime() - killedNanos < BOUND.toNanos()) {
        for (SiteVm vm : others) {
          assertNotEquals(ALIVE, memberState(vm, victim), "at " + vm.id());
        }
        Thread.sleep(POLL_INTERVAL_MS);
      }
      victim.startControl();
      for (SiteVm vm : others) {
        Polling.until(
            "detection of the return at " + vm.id(),
            BOUND.multipliedBy(2),
            () -> memberState(vm, victim).equals(ALIVE));
      }
    }
  }

  /** Returns the state of a VM as another one reports it; empty if it is not a member there. */
  private static String memberState(SiteVm at, SiteVm of) throws Exception {
    for (JsonNode m : Http.getJson(at.controlAdminUrl().resolve("/status")).path("members")) {
      if (m.path("vm").asText().equals(of.id().value())) {
        return m.path("state").asText();
      }
    }
    return "";
  }
}
