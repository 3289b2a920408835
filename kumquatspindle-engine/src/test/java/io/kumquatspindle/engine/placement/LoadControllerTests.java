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
  private static final EndpointName ENDPOINT = EndpointName.of("e");
  private static final ArtifactName MODEL = ArtifactName.of("m");
  private static final ArtifactName OTHER_MODEL = ArtifactName.of("n");
  private static final CustomerName CUSTOMER = CustomerName.of("c");

  private final PlacementStateMachine stateMachine = PlacementStateMachine.initial();
  private final LoadController controller =
      LoadController.builder(VmId.of("vm-1"), "p1", stateMachine).random(new Random(1)).build(0);
  private final List<LoadAction> actions = new ArrayList<>();

  private void configure(boolean fencing) {
    EndpointSpec spec =
        new EndpointSpec(
            ENDPOINT, FailureDomain.of("d"), "", EndpointSpec.Kind.ENGINE, 1_000, fencing, false);
    Map<ArtifactName, ModelSpec> models =
        Map.of(
            MODEL, new ModelSpec(MODEL, 600, 1), OTHER_MODEL, new ModelSpec(OTHER_MODEL, 600, 1));
    controller.configurationChanged(
        new Configuration(
            1,
            models,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(ENDPOINT, spec),
            Map.of(),
            Map.of(),
            Limits.NONE),
        0);
  }

  /** Performs appends at once and records all actions. */
  private void perform(List<LoadAction> given, long now) {
    for (LoadAction a : given) {
      if (a instanceof AppendDecision d) {
        long offset = stateMachine.nextOffset();
        ApplyOutcome outcome = stateMachine.apply(offset, 1_000_000 + now, d.record());
        actions.add(a);
        perform(
            controller.appendFinished(d.appendId(), new AppendResult.Appended(offset), now), now);
        perform(controller.decisionApplied(offset, d.record(), outcome, now), now);
      } else {
        actions.add(a);
      }
    }
  }

  private void report(long now, String incarnation, Map<ArtifactName, Integer> loaded) {
    EndpointReport r =
        new EndpointReport(ENDPOINT, incarnation, 0, 0, 4, false, loaded, List.of(), List.of());
    perform(controller.endpointReported(r, now, now), now);
    perform(controller.tick(now), now);
  }

  private void reportDemand(ArtifactName artifact, long deadlineMs, long now) {
    perform(controller.demandReported(artifact, CUSTOMER, 1, deadlineMs, now), now);
  }

  private <T> List<T> actionsOf(Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T extends DecisionRecord> List<T> records(Class<T> type) {
    return actionsOf(AppendDecision.class).stream()
        .map(AppendDecision::record)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private LoadAction.SendOutlook lastOutlook() {
    List<LoadAction.SendOutlook> all = actionsOf(LoadAction.SendOutlook.class);
    return all.get(all.size() - 1);
  }

  private void loadModel() {
    report(0, "i1", Map.of());
    reportDemand(MODEL, 60_000, 10);
    SendLoad order = actionsOf(SendLoad.class).get(0);
    perform(
        controller.orderFinished(order.decision(), order.attempt(), new OrderResult.Done(), 1_000),
        1_000);
  }

  @Test
  @DisplayName("sends one order after its decision was read back, and records the outcome")
  void loadsOnce() {
    configure(false);
    loadModel();
    reportDemand(MODEL, 60_000, 1_100);
    assertEquals(1, records(LoadDecided.class).size());
    assertEquals(1, actionsOf(SendLoad.class).size());
    assertEquals(List.of(new LoadFinished(0, true, VmId.of("vm-1"))), records(LoadFinished.class));
    assertEquals(EntryMessage.Outlook.EXPECTED, lastOutlook().outlook());
  }

  @Test
  @DisplayName("refuses immediately if the model cannot be ready by the deadline")
  void refusesEarly() {
    configure(false);
    report(0, "i1", Map.of());
    reportDemand(MODEL, 500, 10);
    assertEquals(EntryMessage.Outlook.REFUSED, lastOutlook().outlook());
    assertEquals("expected to be ready after the deadline", lastOutlook().reason());
  }

  @Test
  @DisplayName("refuses demand and decides no load during a log outage")
  void refusesWithoutLog() {
    configure(false);
    controller.logAvailabilityChanged(false, 0);
    report(0, "i1", Map.of());
    reportDemand(MODEL, 60_000, 10);
    assertEquals("decision log is unavailable", lastOutlook().reason());
    assertTrue(records(LoadDecided.class).isEmpty());
  }

  @Test
  @DisplayName("does not resend an order of unknown outcome to an endpoint without fencing")
  void doesNotResendWithoutFencing() {
    assertEquals(1, ordersAfterUnknown(false));
  }

  @Test
  @DisplayName("resends an order of unknown outcome to an endpoint with fencing")
  void resendsWithFencing() {
    assertEquals(2, ordersAfterUnknown(true));
  }

  private int ordersAfterUnknown(boolean fencing) {
    configure(fencing);
    report(0, "i1", Map.of());
    reportDemand(MODEL, 60_000, 10);
    perform(controller.orderFinished(0, 1, new OrderResult.Unknown("timeout"), 1_000), 1_000);
    report(5_000, "i1", Map.of());
    assertTrue(records(LoadFinished.class).isEmpty());
    return actionsOf(SendLoad.class).size();
  }

  @Test
  @DisplayName(
      "evicts a replica for another model only after the drain time and without running requests")
  void drainsBeforeUnload() {
    configure(false);
    loadModel();
    report(7_000, "i1", Map.of(MODEL, 0));
    reportDemand(OTHER_MODEL, 60_000, 7_010);
    assertEquals(1, records(UnloadDecided.class).size());
    assertEquals(EntryMessage.Outlook.QUEUED, lastOutlook().outlook());
    report(9_900, "i1", Map.of(MODEL, 0));
    report(10_100, "i1", Map.of(MODEL, 1));
    assertTrue(actionsOf(SendUnload.class).isEmpty());
    report(10_600, "i1", Map.of(MODEL, 0));
    assertEquals(1, actionsOf(SendUnload.class).size());
    reportDemand(OTHER_MODEL, 60_000, 10_650);
    perform(controller.orderFinished(2, 1, new OrderResult.Done(), 10_700), 10_700);
    assertEquals(OTHER_MODEL, actionsOf(SendLoad.class).get(1).artifact());
  }

  @Test
  @DisplayName("does not evict a replica with running requests")
  void keepsBusyReplicas() {
    configure(false);
    loadModel();
    report(7_000, "i1", Map.of(MODEL, 1));
    reportDemand(OTHER_MODEL, 60_000, 7_010);
    assertEquals("no endpoint has the memory", lastOutlook().reason());
  }

  @Test
  @DisplayName(
      "releases the replicas of a restarted endpoint, but not on a possibly outdated report")
  void detectsRestart() {
    configure(false);
    loadModel();
    report(5_900, "i2", Map.of());
    assertTrue(records(EndpointRestarted.class).isEmpty());
    report(6_100, "i2", Map.of());
    assertEquals(List.of(0L), records(EndpointRestarted.class).get(0).lost());
    assertTrue(stateMachine.replicas().isEmpty());
  }

  @Test
  @DisplayName("unloads a replica that has been idle for the configured time")
  void unloadsIdle() {
    configure(false);
    loadModel();
    long idle = LoadSettings.DEFAULT.idleUnloadMs();
    report(idle, "i1", Map.of(MODEL, 0));
    assertTrue(records(UnloadDecided.class).isEmpty());
    report(idle + 1_000, "i1", Map.of(MODEL, 0));
    assertEquals(1, records(UnloadDecided.class).size());
  }
}
