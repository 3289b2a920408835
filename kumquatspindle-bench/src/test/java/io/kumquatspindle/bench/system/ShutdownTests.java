package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.bench.history.History;
import io.kumquatspindle.bench.history.ShutdownChecker;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.ManagedProcess;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against planned stops that truncate requests or exit with an error (C12). */
@DisplayName("A planned stop")
class ShutdownTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(12);
  private static final String MODEL = "drafts";
  private static final String KEY = "key-1";

  @TempDir Path dir;

  @Test
  @DisplayName("of each entry and control under load truncates no request and exits with status 0")
  void completesRequestsUnderLoad() throws Exception {
    History history = new History();
    try (TestSite site =
        TestSite.builder(BuildTree.current(), dir)
            .vmsPerDomain(2)
            .endpoints(1, 1)
            .standInSetting("engines.per_token_ms", 40)
            .standInSetting("services.delay_ms", 600)
            .start()) {
      OperatorCommand operator = new OperatorCommand(BuildTree.current(), site);
      ModelSpec model = new ModelSpec(ArtifactName.of(MODEL), 1_000, 1);
      assertTrue(operator.file(SiteTickets.initialTicket(site, KEY, List.of(model))).succeeded());
      for (SiteVm vm : site.vms()) {
        Polling.until(
            "acceptance of the key",
            TIMEOUT,
            () -> FleetObserver.getModels(vm, KEY).status() == 200);
      }
      try (BalancedLoadGenerator load =
          new BalancedLoadGenerator(history, site.vms(), KEY, MODEL)) {
        load.awaitAnswers(2);
        for (SiteVm vm : site.vms()) {
          stopAndRecord(history, vm, "entry", vm.entry());
          vm.startEntry();
          vm.awaitReady();
          load.awaitAnswers(2);
          stopAndRecord(history, vm, "control", vm.control());
          vm.startControl();
          vm.awaitReady();
          load.awaitAnswers(2);
        }
      }
    }
    assertEquals(List.of(), new ShutdownChecker().violations(history));
  }

  private static void stopAndRecord(History history, SiteVm vm, String program, ManagedProcess p)
      throws Exception {
    history.record(
        vm.id().value(),
        ShutdownChecker.STOP,
        program,
        () -> {
          p.terminate();
          OptionalInt status = p.awaitExit(TIMEOUT);
          return status.isPresent() ? Integer.toString(status.getAsInt()) : "no exit";
        });
  }
}
