package io.kumquatspindle.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.ShareRecord;
import io.kumquatspindle.api.record.ShareRecord.SlotClaimed;
import io.kumquatspindle.api.record.ShareRecord.SlotReleased;
import io.kumquatspindle.api.record.ShareRecord.VmGone;
import io.kumquatspindle.engine.quota.SlotStateMachine.Outcome;
import java.io.IOException;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("SlotStateMachine")
class SlotStateMachineTests {
  private static final FailureDomain D = FailureDomain.of("d");
  private static final VmId A = VmId.of("a");
  private static final VmId B = VmId.of("b");
  private SlotStateMachine stateMachine = SlotStateMachine.initial();

  private Outcome apply(ShareRecord r) {
    return stateMachine.apply(stateMachine.nextOffset(), r);
  }

  @Test
  @DisplayName("has at most one holder, and reports a first claim only once")
  void oneHolder() {
    assertEquals(Outcome.FIRST_CLAIM, apply(new SlotClaimed(D, 0, A, "a1")));
    assertEquals(Outcome.IGNORED, apply(new SlotClaimed(D, 0, B, "b1")));
    assertEquals(Outcome.IGNORED, apply(new SlotReleased(D, 0, B, "b1")));
    assertEquals(Outcome.RELEASED, apply(new SlotReleased(D, 0, A, "a1")));
    assertEquals(Outcome.TAKEN_OVER, apply(new SlotClaimed(D, 0, B, "b1")));
  }

  @Test
  @DisplayName("lets a restarted process take over its VM's slots, and ignores the earlier process")
  void restart() {
    apply(new SlotClaimed(D, 0, A, "a1"));
    assertEquals(Outcome.TAKEN_OVER, apply(new SlotClaimed(D, 0, A, "a2")));
    assertEquals(Outcome.IGNORED, apply(new SlotReleased(D, 0, A, "a1")));
    assertTrue(stateMachine.isHeldBy(new Slot(D, 0), A, "a2"));
    assertFalse(stateMachine.isHeldBy(new Slot(D, 0), A, "a1"));
  }

  @Test
  @DisplayName("keeps in a snapshot that a freed slot was held before")
  void snapshot() throws IOException {
    apply(new SlotClaimed(D, 0, A, "a1"));
    assertEquals(Outcome.FREED, apply(new VmGone(A, B)));
    assertEquals(Outcome.IGNORED, apply(new VmGone(A, B)));
    stateMachine =
        SlotStateMachine.of(Json.decode(Json.encode(stateMachine.toState()), SlotState.class));
    assertEquals(2, stateMachine.freeSlots(D, 2).size());
    assertEquals(Outcome.TAKEN_OVER, apply(new SlotClaimed(D, 0, B, "b1")));
    assertEquals(Outcome.FIRST_CLAIM, apply(new SlotClaimed(D, 1, B, "b1")));
  }
}
