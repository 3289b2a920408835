package io.kumquatspindle.engine.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.engine.check.ReplicaHistoryChecker;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Assertions;

/**
 * Checks invariants C1 (no replica without a load decision), C2 (no overcommitted memory) and C3
 * (each request is served or refused by its deadline) under lost, delayed and repeated outcomes,
 * pauses, crashes and restarts.
 */
class LoadControllerFaultTests {
  private static final long FAULTS_MS = 120_000;
  private static final long SETTLE_MS = 180_000;

  @Property(tries = 60, seed = "20260112")
  @Label("no replica without a decision, no overcommitted memory, every load completes")
  void keepsInvariantsUnderFaults(@ForAll long seed) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    fleet.run(FAULTS_MS);
    fleet.stopFaults();
    fleet.run(SETTLE_MS);
    assertEquals(List.of(), fleet.checker.violations());
    List<Replica> unsettled =
        fleet.referenceStateMachine.replicas().stream()
            .filter(r -> r.state() != State.LOADED)
            .toList();
    assertEquals(List.of(), unsettled, "replicas without an outcome after faults stopped");
    fleet.artifacts().forEach(a -> assertLoads(fleet, a));
  }

  private static void assertLoads(SimulatedFleet fleet, ArtifactName artifact) {
    SimulatedFleet.Vm vm = fleet.vms.get(0);
    vm.outlooks.clear();
    vm.addDemand(artifact, 60_000);
    for (int s = 0; s < 60 && !isLoaded(fleet, artifact); s++) {
      fleet.run(1_000);
    }
    LoadAction.SendOutlook outlook = vm.outlooks.get(artifact);
    assertTrue(
        isLoaded(fleet, artifact) || outlook.outlook() == EntryMessage.Outlook.REFUSED,
        () -> artifact + " is neither ready nor refused: " + outlook);
    assertTrue(
        isLoaded(fleet, artifact),
        () ->
            artifact
                + " was not loaded although memory is available and faults have stopped: "
                + outlook);
    assertEquals(List.of(), fleet.checker.violations());
  }

  private static boolean isLoaded(SimulatedFleet fleet, ArtifactName artifact) {
    return fleet.referenceStateMachine.replicasOf(artifact).stream()
        .anyMatch(r -> r.state() == State.LOADED);
  }

  @Property(tries = 1)
  @Label("the checker reports a delayed order whose reservation was released")
  void checkerDetectsLateOrder() {
    EndpointName e = EndpointName.of("e");
    ArtifactName m = ArtifactName.of("m");
    ReplicaHistoryChecker checker = new ReplicaHistoryChecker(Map.of(e, 100L));
    checker.loadDecided(1, e, m, 60, 1);
    checker.reservationReleased(1);
    Assertions.assertEquals(List.of(), checker.violations());
    checker.loadStarted(e, m, 60);
    assertEquals(List.of("e holds m without a decision"), checker.violations());
  }

  @Property(tries = 1)
  @Label("the checker reports a release before the unload, and overcommitted memory")
  void checkerDetectsEarlyRelease() {
    EndpointName e = EndpointName.of("e");
    ArtifactName m = ArtifactName.of("m");
    ReplicaHistoryChecker checker = new ReplicaHistoryChecker(Map.of(e, 100L));
    checker.loadDecided(1, e, m, 60, 1);
    checker.loadStarted(e, m, 60);
    checker.reservationReleased(1);
    checker.loadDecided(2, e, ArtifactName.of("n"), 60, 1);
    checker.loadStarted(e, ArtifactName.of("n"), 60);
    checker.loadDecided(3, EndpointName.of("e"), ArtifactName.of("n"), 10, 1);
    assertEquals(
        List.of(
            "e still holds m after its release",
            "e: 120 MB used, capacity 100",
            "n: 2 replicas decided, limit 1"),
        checker.violations());
  }
}
