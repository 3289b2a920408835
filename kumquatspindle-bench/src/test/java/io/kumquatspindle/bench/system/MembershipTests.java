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

/** Guards against stale members: work that a dead VM owned would not be taken over. */
@DisplayName("Members of a failure domain")
class MembershipTests {
  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final String ALIVE = "ALIVE";
  private static final long POLL_MS = 50;

  @TempDir Path dir;

  @Test
  @DisplayName("know of a killed VM in time without the VM list, and of its return")
  void killed() throws Exception {
    try (TestSite site =
        TestSite.builder(BuildTree.current(), dir).vmsPerDomain(4).endpoints(0, 0).start()) {
      SiteVm victim = site.vms().get(0);
      List<SiteVm> others = site.vms().subList(1, site.vms().size());
      for (SiteVm vm : others) {
        Waiting.until("all members at " + vm.id(), BOUND, () -> state(vm, victim).equals(ALIVE));
      }
      Http.faults(site.standInUrl("vm_list"), "{\"out\":true}");
      victim.kill();
      long killed = System.nanoTime();
      for (SiteVm vm : others) {
        Duration left = BOUND.minusNanos(System.nanoTime() - killed);
        Waiting.until("the loss at " + vm.id(), left, () -> !state(vm, victim).equals(ALIVE));
      }
      // A VM that has not heard yet must not bring the dead one back.
      while (System.nanoTime() - killed < BOUND.toNanos()) {
        for (SiteVm vm : others) {
          assertNotEquals(ALIVE, state(vm, victim), "at " + vm.id());
        }
        Thread.sleep(POLL_MS);
      }
      victim.startControl();
      for (SiteVm vm : others) {
        Waiting.until(
            "the return at " + vm.id(),
            BOUND.multipliedBy(2),
            () -> state(vm, victim).equals(ALIVE));
      }
    }
  }

  /** Returns what one VM believes of another; the empty text if it does not know it. */
  private static String state(SiteVm at, SiteVm of) throws Exception {
    for (JsonNode m : Http.json(at.controlAdminUrl().resolve("/status")).path("members")) {
      if (m.path("vm").asText().equals(of.id().value())) {
        return m.path("state").asText();
      }
    }
    return "";
  }
}
