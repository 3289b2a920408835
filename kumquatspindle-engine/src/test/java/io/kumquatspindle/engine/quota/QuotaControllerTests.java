package io.kumquatspindle.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.ShareRecord.SlotClaimed;
import io.kumquatspindle.api.record.ShareRecord.SlotReleased;
import io.kumquatspindle.engine.quota.QuotaAction.AppendShare;
import io.kumquatspindle.engine.quota.QuotaAction.SendTransferRequest;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("QuotaController")
class QuotaControllerTests {
  private static final CustomerName C = CustomerName.of("c");
  private static final FailureDomain D = FailureDomain.of("d");
  private static final VmId VM = VmId.of("vm-1");
  private final SlotStateMachine stateMachine = SlotStateMachine.initial();
  private final QuotaController controller =
      QuotaController.builder(VM, "p2", D, stateMachine).random(new Random(1)).build();

  private void configure() {
    Limits limits = new Limits(List.of(D), 1, 4, 4, 30);
    CustomerSpec spec = new CustomerSpec(C, 1_000, 500, 1, 0, null, null);
    controller.configurationChanged(
        new Configuration(
            1, Map.of(), Map.of(), Map.of(C, spec), Map.of(), Map.of(), Map.of(), Map.of(), limits),
        0);
  }

  private void claim(long now) {
    SlotClaimed r = new SlotClaimed(D, 0, VM, "p2");
    controller.shareRecordApplied(r, stateMachine.apply(stateMachine.nextOffset(), r), now);
  }

  @Test
  @DisplayName("uses a slot of an earlier process only after that process's tokens have expired")
  void waitsAfterTakeover() {
    stateMachine.apply(0, new SlotClaimed(D, 0, VM, "p1"));
    configure();
    claim(0);
    long wait = QuotaSettings.DEFAULT.transferCountedMs();
    controller.tick(wait - 1);
    assertEquals(0, controller.tokens(C, wait - 1));
    controller.tick(wait);
    assertEquals(0, controller.tokens(C, wait));
    assertEquals(100, controller.tokens(C, wait + 100));
  }

  @Test
  @DisplayName("stops using a slot before the release is appended")
  void releasesFirst() {
    configure();
    claim(0);
    assertEquals(500, controller.tokens(C, 0));
    AppendShare append = (AppendShare) controller.stop(10).get(0);
    assertEquals(new SlotReleased(D, 0, VM, "p2"), append.record());
    assertEquals(0, controller.tokens(C, 10));
  }

  @Test
  @DisplayName("asks a peer in its own failure domain first, and ignores a repeated reply")
  void asksLocalPeerFirst() {
    configure();
    claim(0);
    VmId localPeer = VmId.of("vm-2");
    controller.membersChanged(
        Map.of(VmId.of("a-far"), FailureDomain.of("e"), localPeer, D, VM, D), 0);
    List<QuotaAction> actions = controller.entryRequested(7, C, 600, 0);
    SendTransferRequest request = (SendTransferRequest) actions.get(0);
    assertEquals(localPeer, request.vm());
    assertTrue(request.tokens() >= 100);
    List<QuotaAction> granted = controller.transferReceived(request.id(), C, 100, 5);
    assertEquals(new QuotaAction.GrantToEntry(7, C, 600, 0), granted.get(0));
    controller.transferReceived(request.id(), C, 100, 6);
    assertEquals(0, controller.tokens(C, 6));
  }

  @Test
  @DisplayName("reserves tokens for its own recent demand when a peer requests a transfer")
  void keepsOwnDemand() {
    configure();
    claim(0);
    controller.entryRequested(1, C, 200, 0);
    List<QuotaAction> actions = controller.transferRequested(VmId.of("p"), 9, C, 400, 0);
    assertEquals(new QuotaAction.SendTransfer(VmId.of("p"), 9, C, 250), actions.get(0));
  }
}
