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

/** Guards C1, C2 and C3 against lost, late and repeated outcomes, pauses, crashes and restarts. */
class LoadControllerFaultTests {
  private static final long FAULTS_MS = 120_000;
  private static final long SETTLE_MS = 180_000;

  @Property(tries = 60, seed = "20260112")
  @Label("no replica without a decision, no memory overcommitted, every load settles")
  void staysWithinDecisions(@ForAll long seed) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    fleet.run(FAULTS_MS);
    fleet.calm();
    fleet.run(SETTLE_MS);
    assertEquals(List.of(), fleet.checker.faults());
    List<Replica> unsettled =
        fleet.truth.replicas().stream().filter(r -> r.state() != State.LOADED).toList();
    assertEquals(List.of(), unsettled, "no order stays without an outcome once faults stop");
    fleet.artifacts().forEach(a -> becomesReadyOrRefused(fleet, a));
  }

  private static void becomesReadyOrRefused(SimulatedFleet fleet, ArtifactName artifact) {
    SimulatedFleet.Vm vm = fleet.vms.get(0);
    vm.outlooks.clear();
    vm.want(artifact, 60_000);
    for (int s = 0; s < 60 && !isLoaded(fleet, artifact); s++) {
      fleet.run(1_000);
    }
    LoadAction.Outlook outlook = vm.outlooks.get(artifact);
    assertTrue(
        isLoaded(fleet, artifact) || outlook.outlook() == EntryMessage.Outlook.REFUSED,
        () -> artifact + " is neither ready nor refused: " + outlook);
    assertTrue(
        isLoaded(fleet, artifact),
        () -> artifact + " has room and no fault but was not loaded: " + outlook);
    assertEquals(List.of(), fleet.checker.faults());
  }

  private static boolean isLoaded(SimulatedFleet fleet, ArtifactName artifact) {
    return fleet.truth.replicasOf(artifact).stream().anyMatch(r -> r.state() == State.LOADED);
  }

  @Property(tries = 1)
  @Label("the checker refuses a late order whose reservation was released")
  void checkerFindsLateOrder() {
    EndpointName e = EndpointName.of("e");
    ArtifactName m = ArtifactName.of("m");
    ReplicaHistoryChecker checker = new ReplicaHistoryChecker(Map.of(e, 100L));
    checker.decided(1, e, m, 60, 1);
    checker.released(1);
    Assertions.assertEquals(List.of(), checker.faults());
    checker.held(e, m, 60);
    assertEquals(List.of("e holds m without a decision"), checker.faults());
  }

  @Property(tries = 1)
  @Label("the checker refuses a release while the endpoint holds the replica, and overcommit")
  void checkerFindsEarlyRelease() {
    EndpointName e = EndpointName.of("e");
    ArtifactName m = ArtifactName.of("m");
    ReplicaHistoryChecker checker = new ReplicaHistoryChecker(Map.of(e, 100L));
    checker.decided(1, e, m, 60, 1);
    checker.held(e, m, 60);
    checker.released(1);
    checker.decided(2, e, ArtifactName.of("n"), 60, 1);
    checker.held(e, ArtifactName.of("n"), 60);
    checker.decided(3, EndpointName.of("e"), ArtifactName.of("n"), 10, 1);
    assertEquals(
        List.of(
            "e still holds m after its release",
            "e: 120 MB used, capacity 100",
            "n: 2 replicas decided, limit 1"),
        checker.faults());
  }
}
