package io.kumquatspindle.control.quota;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.record.ShareRecord;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.state.StreamStateMachine;
import io.kumquatspindle.engine.quota.QuotaAction;
import io.kumquatspindle.engine.quota.QuotaController;
import io.kumquatspindle.engine.quota.SlotState;
import io.kumquatspindle.engine.quota.SlotStateMachine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The state machine of the shares stream, together with the quota controller that observes it. */
final class SlotStreamStateMachine implements StreamStateMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final VmId vm;
  private final FailureDomain failureDomain;
  private final String incarnation;
  private final RandomGenerator random;
  private final MonotonicClock clock;
  private final List<QuotaAction> actions = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private Map<VmId, FailureDomain> members = Map.of();
  private SlotStateMachine stateMachine;
  private QuotaController controller;
  private long nextOffset;
  private int generation;

  SlotStreamStateMachine(
      VmId vm,
      FailureDomain failureDomain,
      String incarnation,
      RandomGenerator random,
      MonotonicClock clock) {
    this.vm = vm;
    this.failureDomain = failureDomain;
    this.incarnation = incarnation;
    this.random = random;
    this.clock = clock;
    replaceState(SlotStateMachine.initial());
  }

  QuotaController controller() {
    return controller;
  }

  Set<VmId> holders() {
    return stateMachine.holders();
  }

  boolean holdsSlots() {
    return stateMachine.holders().contains(vm);
  }

  List<QuotaAction> configuration(Configuration c, long now) {
    configuration = c;
    return controller.configurationChanged(c, now);
  }

  List<QuotaAction> members(Map<VmId, FailureDomain> liveMembers, long now) {
    members = Map.copyOf(liveMembers);
    return controller.membersChanged(members, now);
  }

  /** Returns and clears the actions that resulted from applying records since the last call. */
  List<QuotaAction> takeActions() {
    List<QuotaAction> taken = List.copyOf(actions);
    actions.clear();
    return taken;
  }

  @Override
  public long nextOffset() {
    return nextOffset;
  }

  @Override
  public void apply(LogRecord r) {
    nextOffset = r.offset() + 1;
    try {
      ShareRecord record = Json.decode(r.value(), ShareRecord.class);
      SlotStateMachine.Outcome outcome = stateMachine.apply(r.offset(), record);
      logger.atFine().log("applied share record at offset %d: %s %s", r.offset(), record, outcome);
      actions.addAll(controller.shareRecordApplied(record, outcome, clock.nowMs()));
    } catch (IOException e) {
      logger.atWarning().withCause(e).log(
          "cannot decode share record at offset %d, ignoring it", r.offset());
    }
  }

  @Override
  public byte[] state() {
    return Json.encode(stateMachine.toState());
  }

  // After a restore the token buckets are empty, since the new controller holds no slots yet.
  @Override
  public void restore(long offset, byte[] state) throws IOException {
    SlotState s = Json.decode(state, SlotState.class);
    nextOffset = offset;
    replaceState(SlotStateMachine.of(s));
    long now = clock.nowMs();
    actions.addAll(controller.membersChanged(members, now));
    actions.addAll(controller.configurationChanged(configuration, now));
  }

  private void replaceState(SlotStateMachine newStateMachine) {
    stateMachine = newStateMachine;
    controller =
        QuotaController.builder(vm, incarnation + "." + generation, failureDomain, stateMachine)
            .random(random)
            .build();
    generation++;
  }
}
