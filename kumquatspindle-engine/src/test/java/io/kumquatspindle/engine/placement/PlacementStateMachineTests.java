package io.kumquatspindle.engine.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.EndpointRestarted;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadFinished;
import io.kumquatspindle.api.record.DecisionRecord.LoadLimits;
import io.kumquatspindle.api.record.DecisionRecord.LoadTakenOver;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.api.record.DecisionRecord.UnloadFinished;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class PlacementStateMachineTests {
  private static final VmId VM = VmId.of("vm-1");
  private final PlacementStateMachine stateMachine = PlacementStateMachine.initial();
  private long time;

  private String apply(DecisionRecord r) {
    ApplyOutcome outcome = stateMachine.apply(stateMachine.nextOffset(), time, r);
    return outcome instanceof ApplyOutcome.Ignored i ? i.reason() : "";
  }

  private static LoadDecided load(String endpoint, String artifact, long mb, boolean store) {
    return load(endpoint, artifact, mb, store, 1, Optional.empty());
  }

  private static LoadDecided load(
      String endpoint,
      String artifact,
      long mb,
      boolean store,
      long number,
      Optional<String> model) {
    LoadLimits basis = new LoadLimits(number, model.map(ArtifactName::of), 2, 100, 2, 4, 1);
    return new LoadDecided(
        EndpointName.of(endpoint), ArtifactName.of(artifact), mb, store, VM, "n", basis);
  }

  @Test
  @DisplayName("ignores a load beyond the replica limit until a replica is released")
  void enforcesReplicaLimit() {
    assertEquals("", apply(load("e1", "m", 10, false)));
    assertEquals(
        "endpoint already has a replica of the artifact", apply(load("e1", "m", 10, false)));
    assertEquals("", apply(load("e2", "m", 10, false)));
    assertEquals("replica limit reached", apply(load("e3", "m", 10, false)));
    assertEquals("", apply(new LoadFinished(0, false, VM)));
    assertEquals("", apply(load("e3", "m", 10, false)));
  }

  @Test
  @DisplayName("reserves memory until the unload has finished")
  void reservesMemoryUntilUnloaded() {
    apply(load("e", "m", 60, false));
    assertEquals("endpoint has too little unreserved memory", apply(load("e", "n", 41, false)));
    apply(new LoadFinished(0, true, VM));
    assertEquals("", apply(new UnloadDecided(0, VM)));
    assertEquals("endpoint has too little unreserved memory", apply(load("e", "n", 41, false)));
    assertEquals("", apply(new UnloadFinished(0, VM)));
    assertEquals("", apply(load("e", "n", 41, false)));
    assertEquals(41, stateMachine.reservedMb(EndpointName.of("e")));
  }

  @Test
  @DisplayName("limits store loads by number and by rate in log time, which never decreases")
  void enforcesStoreLimits() {
    time = 1_000;
    assertEquals("", apply(load("e1", "a", 10, true)));
    assertEquals(1_250, stateMachine.nextStoreLoadMs());
    time = 1_249;
    assertEquals("limit of store loads per second reached", apply(load("e2", "b", 10, true)));
    time = 1_250;
    assertEquals("", apply(load("e2", "b", 10, true)));
    time = 100;
    assertEquals("", apply(new LoadFinished(0, true, VM)));
    assertEquals("limit of store loads per second reached", apply(load("e3", "c", 10, true)));
    time = 1_500;
    assertEquals("", apply(load("e3", "c", 10, true)));
    time = 2_000;
    assertEquals("limit of concurrent store loads reached", apply(load("e4", "d", 10, true)));
  }

  @Test
  @DisplayName(
      "accepts an adapter only on an endpoint with its loaded model, which then cannot be unloaded")
  void tiesAdaptersToModel() {
    apply(load("e", "m", 10, false));
    assertEquals(
        "model is not loaded on the endpoint",
        apply(load("e", "a", 1, false, 1, Optional.of("m"))));
    apply(new LoadFinished(0, true, VM));
    assertEquals("", apply(load("e", "a", 1, false, 1, Optional.of("m"))));
    assertEquals(
        "limit of concurrent adapter loads reached",
        apply(load("e", "b", 1, false, 1, Optional.of("m"))));
    assertEquals("endpoint has adapters of the model", apply(new UnloadDecided(0, VM)));
  }

  @Test
  @DisplayName("ignores a load whose configuration is older than that of an accepted load")
  void ignoresOutdatedConfiguration() {
    apply(load("e", "m", 10, false, 7, Optional.empty()));
    assertEquals(
        "configuration is older than that of an accepted load",
        apply(load("e", "n", 10, false, 6, Optional.empty())));
  }

  @Test
  @DisplayName("keeps a pending load when its endpoint restarts, since its order may still arrive")
  void restartKeepsPending() {
    apply(load("e", "m", 10, false));
    apply(load("e", "n", 10, false));
    apply(new LoadFinished(1, true, VM));
    apply(new EndpointRestarted(EndpointName.of("e"), "i2", List.of(0L, 1L), VM));
    assertTrue(stateMachine.replica(0).isPresent());
    assertTrue(stateMachine.replica(1).isEmpty());
  }

  @Test
  @DisplayName("accepts the outcome of a load from its current sender only")
  void acceptsOutcomeFromSenderOnly() {
    VmId other = VmId.of("vm-2");
    apply(load("e", "m", 10, false));
    assertEquals("VM is not the sender of the load", apply(new LoadFinished(0, true, other)));
    assertEquals("", apply(new LoadTakenOver(0, VM, other, "x")));
    assertEquals("load has another sender", apply(new LoadTakenOver(0, VM, VmId.of("v"), "y")));
    assertEquals("VM is not the sender of the load", apply(new LoadFinished(0, false, VM)));
    assertEquals("", apply(new LoadFinished(0, true, other)));
  }

  @Property(tries = 200, seed = "7")
  @Label("a state machine restored from a snapshot behaves like the original")
  void snapshotContinues(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    PlacementStateMachine original = PlacementStateMachine.initial();
    PlacementStateMachine restored = original;
    for (int offset = 0; offset < 200; offset++) {
      DecisionRecord r = anyRecord(random, offset);
      long ms = offset * 40L + random.nextInt(100);
      ApplyOutcome outcome = original.apply(offset, ms, r);
      assertEquals(outcome, restored == original ? outcome : restored.apply(offset, ms, r));
      assertEquals(original.toState(), restored.toState());
      if (random.nextInt(20) == 0) {
        byte[] json = Json.encode(original.toState());
        restored = PlacementStateMachine.of(Json.decode(json, PlacementState.class));
      }
    }
  }

  private static DecisionRecord anyRecord(Random random, int offset) {
    long decision = random.nextInt(offset + 1);
    String e = "e" + random.nextInt(3);
    return switch (random.nextInt(6)) {
      case 0 -> new LoadFinished(decision, random.nextBoolean(), VM);
      case 1 -> new UnloadDecided(decision, VM);
      case 2 -> new UnloadFinished(decision, VM);
      case 3 -> new EndpointRestarted(EndpointName.of(e), "i", List.of(decision), VM);
      case 4 -> load(e, "a", 5, false, 1, Optional.of("m0"));
      default -> load(e, "m" + random.nextInt(3), 40, random.nextBoolean());
    };
  }
}
