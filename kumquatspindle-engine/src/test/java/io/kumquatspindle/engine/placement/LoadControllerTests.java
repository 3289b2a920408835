package io.kumquatspindle.engine.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.EndpointRestarted;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadFinished;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.engine.placement.LoadAction.AppendDecision;
import io.kumquatspindle.engine.placement.LoadAction.SendLoad;
import io.kumquatspindle.engine.placement.LoadAction.SendUnload;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("LoadController")
class LoadControllerTests {
  private static final EndpointName E = EndpointName.of("e");
  private static final ArtifactName M = ArtifactName.of("m");
  private static final ArtifactName N = ArtifactName.of("n");
  private static final CustomerName CUSTOMER = CustomerName.of("c");

  private final PlacementFold fold = PlacementFold.initial();
  private final LoadController controller =
      LoadController.builder(VmId.of("vm-1"), "p1", fold).random(new Random(1)).build(0);
  private final List<LoadAction> actions = new ArrayList<>();

  private void configure(boolean fencing) {
    EndpointSpec spec =
        new EndpointSpec(
            E, FailureDomain.of("d"), "", EndpointSpec.Kind.ENGINE, 1_000, fencing, false);
    Map<ArtifactName, ModelSpec> models =
        Map.of(M, new ModelSpec(M, 600, 1), N, new ModelSpec(N, 600, 1));
    controller.configuration(
        new Configuration(
            1,
            models,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(E, spec),
            Map.of(),
            Map.of(),
            Limits.NONE),
        0);
  }

  /** Carries out appends at once and keeps the other actions. */
  private void handle(List<LoadAction> given, long now) {
    for (LoadAction a : given) {
      if (a instanceof AppendDecision d) {
        long offset = fold.nextOffset();
        Verdict v = fold.apply(offset, 1_000_000 + now, d.record());
        actions.add(a);
        handle(controller.appendFinished(d.tag(), new AppendResult.Appended(offset), now), now);
        handle(controller.decisionApplied(offset, d.record(), v, now), now);
      } else {
        actions.add(a);
      }
    }
  }

  private void report(long now, String incarnation, Map<ArtifactName, Integer> loaded) {
    EndpointReport r =
        new EndpointReport(E, incarnation, 0, 0, 4, false, loaded, List.of(), List.of());
    handle(controller.report(r, now, now), now);
    handle(controller.tick(now), now);
  }

  private void want(ArtifactName artifact, long deadlineMs, long now) {
    handle(controller.wanted(artifact, CUSTOMER, 1, deadlineMs, now), now);
  }

  private <T> List<T> all(Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T extends DecisionRecord> List<T> records(Class<T> type) {
    return all(AppendDecision.class).stream()
        .map(AppendDecision::record)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private LoadAction.Outlook lastOutlook() {
    List<LoadAction.Outlook> all = all(LoadAction.Outlook.class);
    return all.get(all.size() - 1);
  }

  private void loadM() {
    report(0, "i1", Map.of());
    want(M, 60_000, 10);
    SendLoad order = all(SendLoad.class).get(0);
    handle(
        controller.orderFinished(order.decision(), order.attempt(), new OrderResult.Done(), 1_000),
        1_000);
  }

  @Test
  @DisplayName("sends the order only after its decision was read back, and records the outcome")
  void loadsOnce() {
    configure(false);
    loadM();
    want(M, 60_000, 1_100);
    assertEquals(1, records(LoadDecided.class).size());
    assertEquals(1, all(SendLoad.class).size());
    assertEquals(List.of(new LoadFinished(0, true, VmId.of("vm-1"))), records(LoadFinished.class));
    assertEquals(EntryMessage.Outlook.EXPECTED, lastOutlook().outlook());
  }

  @Test
  @DisplayName("refuses at once when the model cannot be ready by the deadline")
  void refusesEarly() {
    configure(false);
    report(0, "i1", Map.of());
    want(M, 500, 10);
    assertEquals(EntryMessage.Outlook.REFUSED, lastOutlook().outlook());
    assertEquals("expected to be ready after the deadline", lastOutlook().reason());
  }

  @Test
  @DisplayName("refuses and decides nothing during a log outage")
  void refusesWithoutLog() {
    configure(false);
    controller.logAvailable(false, 0);
    report(0, "i1", Map.of());
    want(M, 60_000, 10);
    assertEquals("decision log is unavailable", lastOutlook().reason());
    assertTrue(records(LoadDecided.class).isEmpty());
  }

  @Test
  @DisplayName("never repeats an order of unknown outcome to an endpoint that ignores fencing")
  void noRepeatWithoutFencing() {
    assertEquals(1, ordersAfterUnknown(false));
  }

  @Test
  @DisplayName("repeats an order of unknown outcome to an endpoint with fencing")
  void repeatsWithFencing() {
    assertEquals(2, ordersAfterUnknown(true));
  }

  private int ordersAfterUnknown(boolean fencing) {
    configure(fencing);
    report(0, "i1", Map.of());
    want(M, 60_000, 10);
    handle(controller.orderFinished(0, 1, new OrderResult.Unknown("timeout"), 1_000), 1_000);
    report(5_000, "i1", Map.of());
    assertTrue(records(LoadFinished.class).isEmpty());
    return all(SendLoad.class).size();
  }

  @Test
  @DisplayName(
      "frees memory for a wanted model, but only after the drain time and without requests")
  void drainsBeforeUnload() {
    configure(false);
    loadM();
    report(7_000, "i1", Map.of(M, 0));
    want(N, 60_000, 7_010);
    assertEquals(1, records(UnloadDecided.class).size());
    assertEquals(EntryMessage.Outlook.QUEUED, lastOutlook().outlook());
    report(9_900, "i1", Map.of(M, 0));
    report(10_100, "i1", Map.of(M, 1));
    assertTrue(all(SendUnload.class).isEmpty());
    report(10_600, "i1", Map.of(M, 0));
    assertEquals(1, all(SendUnload.class).size());
    want(N, 60_000, 10_650);
    handle(controller.orderFinished(2, 1, new OrderResult.Done(), 10_700), 10_700);
    assertEquals(N, all(SendLoad.class).get(1).artifact());
  }

  @Test
  @DisplayName("does not free memory that is in use")
  void keepsBusyReplicas() {
    configure(false);
    loadM();
    report(7_000, "i1", Map.of(M, 1));
    want(N, 60_000, 7_010);
    assertEquals("no endpoint has the memory", lastOutlook().reason());
  }

  @Test
  @DisplayName("releases the replicas of a restarted endpoint, but not on a report that may be old")
  void detectsRestart() {
    configure(false);
    loadM();
    report(5_900, "i2", Map.of());
    assertTrue(records(EndpointRestarted.class).isEmpty());
    report(6_100, "i2", Map.of());
    assertEquals(List.of(0L), records(EndpointRestarted.class).get(0).lost());
    assertTrue(fold.replicas().isEmpty());
  }

  @Test
  @DisplayName("unloads a replica that has been idle for the idle time")
  void unloadsIdle() {
    configure(false);
    loadM();
    long idle = LoadSettings.DEFAULT.idleUnloadMs();
    report(idle, "i1", Map.of(M, 0));
    assertTrue(records(UnloadDecided.class).isEmpty());
    report(idle + 1_000, "i1", Map.of(M, 0));
    assertEquals(1, records(UnloadDecided.class).size());
  }
}
