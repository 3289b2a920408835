package io.kumquatspindle.engine.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.api.message.EntryMessage.IntentVerdict;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.IntentRecord;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("IntentStateMachine")
class IntentStateMachineTests {
  private static final CustomerName GAS = CustomerName.of("gas");
  private static final VmId VM = VmId.of("vm-1");
  private static final long WINDOW_MS = 1_000;

  private final IntentStateMachine stateMachine = new IntentStateMachine(WINDOW_MS);

  private static IntentRecord recorded(String nonce) {
    return new IntentRecord.IntentRecorded(GAS, "k", "d", VM, nonce);
  }

  private IntentVerdict verdict(String nonce, String digest) {
    return stateMachine.attemptResult(GAS, "k", nonce, digest).orElseThrow().verdict();
  }

  @Test
  @DisplayName("the first record of a key in log order wins, so that only one call is sent")
  void firstRecordWins() {
    stateMachine.apply(0, 10, new IntentRecord.Group(List.of(recorded("a"), recorded("b"))));
    stateMachine.apply(1, 11, recorded("c"));
    assertEquals(IntentVerdict.FIRST, verdict("a", "d"));
    assertEquals(IntentVerdict.DUPLICATE, verdict("b", "d"));
    assertEquals(IntentVerdict.DUPLICATE, verdict("c", "d"));
    assertEquals(IntentVerdict.MISMATCH, verdict("c", "other"));
  }

  @Test
  @DisplayName(
      "an outcome of not run releases the key, but only if its nonce is that of the winning record")
  void releasesKeyOfUnexecutedCall() {
    stateMachine.apply(0, 10, recorded("a"));
    stateMachine.apply(
        1, 11, new IntentRecord.IntentFinished(GAS, "k", "b", ExecutionStatus.NOT_RUN, 0));
    assertEquals(IntentVerdict.DUPLICATE, verdict("b", "d"));
    stateMachine.apply(
        2, 12, new IntentRecord.IntentFinished(GAS, "k", "a", ExecutionStatus.NOT_RUN, 0));
    stateMachine.apply(3, 13, recorded("b"));
    assertEquals(IntentVerdict.FIRST, verdict("b", "d"));
  }

  @Test
  @DisplayName("a duplicate gets the outcome of the first call")
  void reportsOutcomeToDuplicate() {
    stateMachine.apply(0, 10, recorded("a"));
    stateMachine.apply(
        1, 11, new IntentRecord.IntentFinished(GAS, "k", "a", ExecutionStatus.RAN, 200));
    IntentStateMachine.AttemptResult a =
        stateMachine.attemptResult(GAS, "k", "b", "d").orElseThrow();
    assertEquals(
        new IntentStateMachine.AttemptResult(IntentVerdict.DUPLICATE, ExecutionStatus.RAN, 200), a);
  }

  @Test
  @DisplayName("keys expire by log time, so that memory stays bounded and all VMs agree")
  void expiresKeysByLogTime() {
    stateMachine.apply(0, 10, recorded("a"));
    stateMachine.apply(1, 10 + WINDOW_MS, new IntentRecord.Group(List.of()));
    assertEquals(1, stateMachine.size());
    stateMachine.apply(2, 11 + WINDOW_MS, new IntentRecord.Group(List.of()));
    assertEquals(0, stateMachine.size());
    assertEquals(Optional.empty(), stateMachine.attemptResult(GAS, "k", "b", "d"));
  }
}
