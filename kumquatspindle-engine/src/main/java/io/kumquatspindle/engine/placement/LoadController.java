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
 * stream to the fold and then reports it with {@link #decisionApplied}; it carries out the returned
 * actions in order. All times are milliseconds of one monotonic clock. One owner thread.
 */
public final class LoadController {
  private final LoadContext context;
  private final LoadPlanner planner;
  private final LoadOrders loads;
  private final UnloadOrders unloads;
  private final Upkeep upkeep;

  private LoadController(Builder b, long now) {
    context = new LoadContext(b, now);
    planner = new LoadPlanner(context);
    loads = new LoadOrders(context, now);
    unloads = new UnloadOrders(context, now);
    upkeep = new Upkeep(context, planner::isWanted);
  }

  /**
   * Returns a builder.
   *
   * @param vm the VM that the controller acts for
   * @param incarnation identifier of this controller, never used before; decisions of a predecessor
   *     on the same VM are recognised by it
   * @param fold the fold of the {@code decisions} stream, applied by the caller
   * @return the builder
   */
  public static Builder builder(VmId vm, String incarnation, PlacementFold fold) {
    return new Builder(vm, incarnation, fold);
  }

  /**
   * Requests wait for an artifact without a ready replica; repeated while they wait.
   *
   * @param artifact the model or adapter
   * @param customer customer of the request with the earliest deadline
   * @param waiting number of requests that wait
   * @param deadlineMs the earliest deadline, in ms of the clock
   * @param now present time, in ms
   * @return actions, among them an outlook for the artifact
   */
  public List<LoadAction> wanted(
      ArtifactName artifact, CustomerName customer, int waiting, long deadlineMs, long now) {
    context.history.used(artifact, context.epochMs(now));
    planner.wanted(new Want(artifact, customer, waiting, deadlineMs, now), now);
    return act(now);
  }

  /**
   * The fold has applied a record.
   *
   * @param offset the record's offset
   * @param record the record
   * @param verdict what the fold returned
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> decisionApplied(
      long offset, DecisionRecord record, Verdict verdict, long now) {
    context.logTimeSeen(now);
    context.appends.applied(offset, record, verdict.accepted(), now);
    if (verdict.accepted()) {
      accepted(offset, record, now);
    }
    planner.plan(now);
    return act(now);
  }

  private void accepted(long offset, DecisionRecord record, long now) {
    if (record instanceof EndpointRestarted r) {
      r.lost().forEach(decision -> context.changed(decision, now));
      return;
    }
    long decision = record instanceof LoadDecided ? offset : decisionOf(record);
    context.changed(decision, now);
    context
        .fold
        .replica(decision)
        .ifPresent(
            r -> {
              loads.track(r, record, now);
              unloads.track(r, now);
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
   * An order that this controller asked for has an outcome.
   *
   * @param decision the fencing number of the order
   * @param attempt the number of the attempt; an outcome that is repeated has no effect
   * @param result the outcome
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> orderFinished(long decision, int attempt, OrderResult result, long now) {
    loads.finished(decision, attempt, result, now);
    unloads.finished(decision, attempt, result, now);
    return act(now);
  }

  /**
   * An endpoint has reported.
   *
   * @param report the report
   * @param asOfMs a time at or before which the endpoint was asked for the report, in ms; for a
   *     report from a peer its age has to be subtracted
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> report(EndpointReport report, long asOfMs, long now) {
    if (context.views.report(report, asOfMs)) {
      long epochMs = context.epochMs(now);
      report
          .loaded()
          .forEach(
              (artifact, running) -> {
                if (running > 0) {
                  context.history.used(artifact, epochMs);
                }
              });
    }
    return act(now);
  }

  /**
   * An append that this controller asked for has an outcome.
   *
   * @param tag the tag of the append
   * @param result the outcome
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> appendFinished(long tag, AppendResult result, long now) {
    context.appends.finished(tag, result, context.fold.nextOffset(), now);
    return act(now);
  }

  /**
   * A configuration is in force.
   *
   * @param configuration the configuration
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> configuration(Configuration configuration, long now) {
    context.configuration = configuration;
    context.views.retain(configuration.endpoints()::containsKey, configuration::hasArtifact);
    context.history.retain(configuration::hasArtifact);
    planner.plan(now);
    return act(now);
  }

  /**
   * The log can or cannot be reached.
   *
   * @param available whether it can
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> logAvailable(boolean available, long now) {
    context.logAvailable = available;
    planner.plan(now);
    return act(now);
  }

  /**
   * The weight store has told its state.
   *
   * @param status the state
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> store(StoreStatus status, long now) {
    if (status.megabytesPerSecond() > 0) {
      context.storeMbPerSecond = status.megabytesPerSecond();
    }
    return act(now);
  }

  /**
   * An entry program has told its use of a replica.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param inFlight requests in flight
   * @param idleMs time since the last request ended, in milliseconds; 0 while one is in flight
   * @param vm the entry program's VM
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> use(
      EndpointName endpoint, ArtifactName artifact, int inFlight, long idleMs, VmId vm, long now) {
    long idle = inFlight > 0 ? 0 : idleMs;
    context.views.use(endpoint, artifact, inFlight > 0, now - idle, vm, now);
    context.history.used(artifact, context.epochMs(now) - idle);
    return act(now);
  }

  /**
   * The platform's list no longer shows a VM, which has certainly stopped. To be repeated at each
   * read of the list, for every VM in {@link #owners()} that it does not show.
   *
   * @param vm the VM
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> vmGone(VmId vm, long now) {
    if (!vm.equals(context.vm)) {
      context.gone.add(vm);
      context.views.vmGone(vm);
    }
    return act(now);
  }

  /**
   * Time has passed; to be called several times a second.
   *
   * @param now present time, in ms
   * @return actions
   */
  public List<LoadAction> tick(long now) {
    context.appends.tick(context.fold.nextOffset(), now);
    context.gone.retainAll(owners());
    upkeep.plan(now);
    planner.plan(now);
    return act(now);
  }

  /**
   * Returns the VMs that send orders of loads and unloads in progress.
   *
   * @return the VMs
   */
  public Set<VmId> owners() {
    Set<VmId> owners = new HashSet<>();
    for (Replica r : context.fold.replicas()) {
      owners.add(r.sender());
      r.unloader().ifPresent(owners::add);
    }
    return owners;
  }

  private List<LoadAction> act(long now) {
    loads.plan(now);
    unloads.plan(now);
    return context.takeActions();
  }

  /** Builds a {@link LoadController}. */
  public static final class Builder {
    final VmId vm;
    final String incarnation;
    final PlacementFold fold;
    PlacementPolicy policy = new CheckpointAwarePolicy();
    LoadSettings settings = LoadSettings.DEFAULT;
    RandomGenerator random;

    private Builder(VmId vm, String incarnation, PlacementFold fold) {
      this.vm = Objects.requireNonNull(vm, "vm");
      this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
      this.fold = Objects.requireNonNull(fold, "fold");
    }

    /**
     * Sets the policy; without it {@link CheckpointAwarePolicy}.
     *
     * @param value the policy
     * @return this builder
     */
    public Builder policy(PlacementPolicy value) {
      policy = Objects.requireNonNull(value, "policy");
      return this;
    }

    /**
     * Sets times and speeds; without it {@link LoadSettings#DEFAULT}.
     *
     * @param value the settings
     * @return this builder
     */
    public Builder settings(LoadSettings value) {
      settings = Objects.requireNonNull(value, "settings");
      return this;
    }

    /**
     * Sets the source of random waits, which is required.
     *
     * @param value the source
     * @return this builder
     */
    public Builder random(RandomGenerator value) {
      random = Objects.requireNonNull(value, "random");
      return this;
    }

    /**
     * Returns a controller. It takes the outcome of each pending load of its VM as unknown.
     *
     * @param now present time, in ms
     * @return the controller
     */
    public LoadController build(long now) {
      Objects.requireNonNull(random, "random");
      return new LoadController(this, now);
    }
  }
}
