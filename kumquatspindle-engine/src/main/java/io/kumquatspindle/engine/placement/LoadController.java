package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.platform.StoreStatus;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.EndpointRestarted;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadFinished;
import io.kumquatspindle.api.record.DecisionRecord.LoadTakenOver;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.api.record.DecisionRecord.UnloadFinished;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides loads and unloads for one VM. The caller applies each record of the {@code decisions}
 * stream to the state machine, reports it with {@link #decisionApplied}, and carries out the
 * returned actions in order. All times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class LoadController {
  private final LoadContext context;
  private final LoadPlanner planner;
  private final LoadOrders loadOrders;
  private final UnloadOrders unloadOrders;
  private final ReplicaReconciler reconciler;

  private LoadController(Builder builder, long now) {
    context = new LoadContext(builder, now);
    planner = new LoadPlanner(context);
    loadOrders = new LoadOrders(context, now);
    unloadOrders = new UnloadOrders(context, now);
    reconciler = new ReplicaReconciler(context, planner::hasDemand);
  }

  /**
   * Returns a builder.
   *
   * @param vm the VM that the controller acts for
   * @param incarnation identifier of this controller, never used before; distinguishes its
   *     decisions from those of a predecessor on the same VM
   * @param stateMachine the state machine of the {@code decisions} stream, applied by the caller
   * @return the builder
   */
  public static Builder builder(VmId vm, String incarnation, PlacementStateMachine stateMachine) {
    return new Builder(vm, incarnation, stateMachine);
  }

  /**
   * Handles demand for an artifact: requests wait for it and no replica is ready. Repeated while
   * they wait.
   *
   * @param artifact the model or adapter
   * @param customer customer of the request with the earliest deadline
   * @param waiting number of waiting requests
   * @param deadlineMs the earliest deadline of the waiting requests, in ms
   * @param now current time, in ms
   * @return the actions, including an outlook for the artifact
   */
  public List<LoadAction> demandReported(
      ArtifactName artifact, CustomerName customer, int waiting, long deadlineMs, long now) {
    context.history.recordUse(artifact, context.estimatedLogTimeMs(now));
    planner.addDemand(new ArtifactDemand(artifact, customer, waiting, deadlineMs, now), now);
    return collectActions(now);
  }

  /**
   * Handles a record that was applied to the state machine.
   *
   * @param offset the record's offset
   * @param record the record
   * @param outcome the outcome returned by the state machine
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> decisionApplied(
      long offset, DecisionRecord record, ApplyOutcome outcome, long now) {
    context.logTimeUpdated(now);
    context.appends.recordApplied(offset, record, outcome.accepted(), now);
    if (outcome.accepted()) {
      recordAccepted(offset, record, now);
    }
    planner.plan(now);
    return collectActions(now);
  }

  private void recordAccepted(long offset, DecisionRecord record, long now) {
    if (record instanceof EndpointRestarted r) {
      r.lost().forEach(decision -> context.recordStateChange(decision, now));
      return;
    }
    long decision = record instanceof LoadDecided ? offset : decisionOf(record);
    context.recordStateChange(decision, now);
    context
        .stateMachine
        .replica(decision)
        .ifPresent(
            r -> {
              loadOrders.track(r, record, now);
              unloadOrders.track(r, now);
            });
  }

  private static long decisionOf(DecisionRecord record) {
    if (record instanceof LoadFinished r) {
      return r.decision();
    }
    if (record instanceof LoadTakenOver r) {
      return r.decision();
    }
    if (record instanceof UnloadDecided r) {
      return r.decision();
    }
    return ((UnloadFinished) record).decision();
  }

  /**
   * Handles the outcome of an order that this controller requested.
   *
   * @param decision the fencing number of the order
   * @param attempt the number of the attempt; a repeated outcome has no effect
   * @param result the outcome
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> orderFinished(long decision, int attempt, OrderResult result, long now) {
    loadOrders.orderFinished(decision, attempt, result, now);
    unloadOrders.orderFinished(decision, attempt, result, now);
    return collectActions(now);
  }

  /**
   * Handles a report of an endpoint.
   *
   * @param report the report
   * @param asOfMs a time no later than the request for the report, in ms; for a report received
   *     from a peer, its age has to be subtracted
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> endpointReported(EndpointReport report, long asOfMs, long now) {
    if (context.views.updateReport(report, asOfMs)) {
      long logTimeMs = context.estimatedLogTimeMs(now);
      report
          .loaded()
          .forEach(
              (artifact, running) -> {
                if (running > 0) {
                  context.history.recordUse(artifact, logTimeMs);
                }
              });
    }
    return collectActions(now);
  }

  /**
   * Handles the outcome of an append that this controller requested.
   *
   * @param appendId the identifier of the append
   * @param result the outcome
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> appendFinished(long appendId, AppendResult result, long now) {
    context.appends.appendFinished(appendId, result, context.stateMachine.nextOffset(), now);
    return collectActions(now);
  }

  /**
   * Handles a new configuration in force.
   *
   * @param configuration the configuration
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> configurationChanged(Configuration configuration, long now) {
    context.configuration = configuration;
    context.views.retain(configuration.endpoints()::containsKey, configuration::hasArtifact);
    context.history.retain(configuration::hasArtifact);
    planner.plan(now);
    return collectActions(now);
  }

  /**
   * Handles a change of the log's availability.
   *
   * @param available whether the log is reachable
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> logAvailabilityChanged(boolean available, long now) {
    context.logAvailable = available;
    planner.plan(now);
    return collectActions(now);
  }

  /**
   * Handles a status report of the weight store.
   *
   * @param status the status
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> storeStatusReported(StoreStatus status, long now) {
    if (status.megabytesPerSecond() > 0) {
      context.storeMbPerSecond = status.megabytesPerSecond();
    }
    return collectActions(now);
  }

  /**
   * Handles an entry program's report of its use of a replica.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param inFlight number of requests in flight
   * @param idleMs time since the last request ended, in milliseconds; 0 while one is in flight
   * @param vm the entry program's VM
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> replicaUseReported(
      EndpointName endpoint, ArtifactName artifact, int inFlight, long idleMs, VmId vm, long now) {
    long effectiveIdleMs = inFlight > 0 ? 0 : idleMs;
    context.views.updateUsage(endpoint, artifact, inFlight > 0, now - effectiveIdleMs, vm, now);
    context.history.recordUse(artifact, context.estimatedLogTimeMs(now) - effectiveIdleMs);
    return collectActions(now);
  }

  /**
   * Handles a VM that is missing from the platform's VM list and has therefore certainly stopped.
   * Has to be called after each read of the list for every VM in {@link #orderOwners()} that is
   * missing from it.
   *
   * @param vm the VM
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> vmGone(VmId vm, long now) {
    if (!vm.equals(context.vm)) {
      context.goneVms.add(vm);
      context.views.removeVm(vm);
    }
    return collectActions(now);
  }

  /**
   * Performs periodic work; has to be called several times a second.
   *
   * @param now current time, in ms
   * @return the actions to carry out
   */
  public List<LoadAction> tick(long now) {
    context.appends.expire(context.stateMachine.nextOffset(), now);
    context.goneVms.retainAll(orderOwners());
    reconciler.plan(now);
    planner.plan(now);
    return collectActions(now);
  }

  /**
   * Returns the VMs responsible for the load and unload orders of the current replicas.
   *
   * @return the VMs
   */
  public Set<VmId> orderOwners() {
    Set<VmId> owners = new HashSet<>();
    for (Replica r : context.stateMachine.replicas()) {
      owners.add(r.sender());
      r.unloader().ifPresent(owners::add);
    }
    return owners;
  }

  private List<LoadAction> collectActions(long now) {
    loadOrders.plan(now);
    unloadOrders.plan(now);
    return context.drainActions();
  }

  /** Builds a {@link LoadController}. */
  public static final class Builder {
    final VmId vm;
    final String incarnation;
    final PlacementStateMachine stateMachine;
    PlacementPolicy policy = new CheckpointAwarePolicy();
    LoadSettings settings = LoadSettings.DEFAULT;
    RandomGenerator random;

    private Builder(VmId vm, String incarnation, PlacementStateMachine stateMachine) {
      this.vm = Objects.requireNonNull(vm, "vm");
      this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
      this.stateMachine = Objects.requireNonNull(stateMachine, "stateMachine");
    }

    /**
     * Sets the placement policy; defaults to {@link CheckpointAwarePolicy}.
     *
     * @param value the policy
     * @return this builder
     */
    public Builder policy(PlacementPolicy value) {
      policy = Objects.requireNonNull(value, "policy");
      return this;
    }

    /**
     * Sets the time limits and speeds; defaults to {@link LoadSettings#DEFAULT}.
     *
     * @param value the settings
     * @return this builder
     */
    public Builder settings(LoadSettings value) {
      settings = Objects.requireNonNull(value, "settings");
      return this;
    }

    /**
     * Sets the source of randomness for takeover delays; required.
     *
     * @param value the source
     * @return this builder
     */
    public Builder random(RandomGenerator value) {
      random = Objects.requireNonNull(value, "random");
      return this;
    }

    /**
     * Builds the controller. It treats the outcome of each pending load of its VM as unknown.
     *
     * @param now current time, in ms
     * @return the controller
     */
    public LoadController build(long now) {
      Objects.requireNonNull(random, "random");
      return new LoadController(this, now);
    }
  }
}
