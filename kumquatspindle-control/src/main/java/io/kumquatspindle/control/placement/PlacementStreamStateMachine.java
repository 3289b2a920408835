package io.kumquatspindle.control.placement;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.PlacementUpdate;
import io.kumquatspindle.api.message.EntryMessage.ReplicaState;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.state.StreamStateMachine;
import io.kumquatspindle.engine.placement.ApplyOutcome;
import io.kumquatspindle.engine.placement.LoadAction;
import io.kumquatspindle.engine.placement.LoadController;
import io.kumquatspindle.engine.placement.LoadSettings;
import io.kumquatspindle.engine.placement.PlacementPolicy;
import io.kumquatspindle.engine.placement.PlacementState;
import io.kumquatspindle.engine.placement.PlacementStateMachine;
import io.kumquatspindle.engine.placement.Replica;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The state machine of the decisions stream, together with the load controller that observes it.
 */
public final class PlacementStreamStateMachine implements StreamStateMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final VmId vm;
  private final String incarnation;
  private final LoadSettings settings;
  private final PlacementPolicy policy;
  private final RandomGenerator random;
  private final MonotonicClock clock;
  private final List<LoadAction> actions = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private PlacementStateMachine stateMachine;
  private LoadController controller;
  private long nextOffset;
  private int generation;

  /**
   * Creates a state machine in its initial state.
   *
   * @param vm this VM
   * @param incarnation identifier of this process
   * @param settings delays and transfer rates
   * @param policy selects the endpoints for loads and the replicas to unload
   * @param random source of randomness
   * @param clock the monotonic clock
   */
  public PlacementStreamStateMachine(
      VmId vm,
      String incarnation,
      LoadSettings settings,
      PlacementPolicy policy,
      RandomGenerator random,
      MonotonicClock clock) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.settings = settings;
    this.policy = policy;
    this.random = random;
    this.clock = clock;
    replaceState(PlacementStateMachine.initial());
  }

  LoadController controller() {
    return controller;
  }

  void configuration(Configuration c) {
    configuration = c;
  }

  /** Returns and clears the actions that resulted from applying records since the last call. */
  List<LoadAction> takeActions() {
    List<LoadAction> taken = List.copyOf(actions);
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
    DecisionRecord record;
    try {
      record = Json.decode(r.value(), DecisionRecord.class);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log(
          "cannot decode decision record at offset %d, ignoring it", r.offset());
      return;
    }
    ApplyOutcome outcome = stateMachine.apply(r.offset(), r.timeMs(), record);
    logger.atFine().log("applied decision record at offset %d: %s %s", r.offset(), record, outcome);
    actions.addAll(controller.decisionApplied(r.offset(), record, outcome, clock.nowMs()));
  }

  @Override
  public byte[] state() {
    return Json.encode(stateMachine.toState());
  }

  @Override
  public void restore(long offset, byte[] state) throws IOException {
    PlacementState s = Json.decode(state, PlacementState.class);
    nextOffset = offset;
    replaceState(PlacementStateMachine.of(s));
    actions.addAll(controller.configurationChanged(configuration, clock.nowMs()));
  }

  // The load controller is rebuilt together with the state and gets a new incarnation, because its
  // knowledge of earlier decisions refers to the state that was replaced.
  private void replaceState(PlacementStateMachine newStateMachine) {
    stateMachine = newStateMachine;
    controller =
        LoadController.builder(vm, incarnation + "." + generation, stateMachine)
            .settings(settings)
            .policy(policy)
            .random(random)
            .build(clock.nowMs());
    generation++;
  }

  /** Returns the replicas in the form that is sent to entry programs. */
  PlacementUpdate toUpdate(OutlookCache outlooks) {
    List<EntryMessage.Replica> list = new ArrayList<>();
    for (Replica r : stateMachine.replicas()) {
      ReplicaState state = toReplicaState(r);
      long expected = state == ReplicaState.LOADING ? outlooks.expectedReadyMs(r.artifact()) : 0;
      list.add(new EntryMessage.Replica(r.endpoint(), r.artifact(), state, expected));
    }
    return new PlacementUpdate(list);
  }

  private static ReplicaState toReplicaState(Replica r) {
    switch (r.state()) {
      case LOADED:
        return ReplicaState.READY;
      case UNLOADING:
        return ReplicaState.DRAINING;
      default:
        return ReplicaState.LOADING;
    }
  }
}
