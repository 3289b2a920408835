package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.record.DecisionRecord;
import io.kumquatspindle.api.record.DecisionRecord.EndpointRestarted;
import io.kumquatspindle.api.record.DecisionRecord.LoadTakenOver;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Takes over the orders of VMs that are gone, releases replicas that endpoints have lost, and
 * unloads replicas that are idle or on a leaving endpoint. The VM that sent a replica's load order
 * acts first; other VMs act after a random delay if it has not, so that few VMs append the same
 * record.
 */
final class ReplicaReconciler {
  private static final String REMOVED_INCARNATION = "removed";

  private final LoadContext context;
  private final Predicate<ArtifactName> hasDemand;
  private Map<String, Long> dueMs = new HashMap<>();
  private Map<String, Long> nextDueMs = new HashMap<>();

  ReplicaReconciler(LoadContext context, Predicate<ArtifactName> hasDemand) {
    this.context = context;
    this.hasDemand = hasDemand;
  }

  void plan(long now) {
    Map<EndpointName, List<Replica>> lost = new TreeMap<>();
    for (Replica r : List.copyOf(context.stateMachine.replicas())) {
      if (r.state() == State.PENDING) {
        planTakeover(r, r.sender(), takeoverRecord(r), now);
      } else if (isLost(r, now)) {
        lost.computeIfAbsent(r.endpoint(), k -> new ArrayList<>()).add(r);
      } else if (r.state() == State.UNLOADING) {
        VmId unloader = r.unloader().orElse(r.sender());
        planTakeover(r, unloader, new UnloadDecided(r.decision(), context.vm), now);
      } else if (shouldUnload(r, now) && isDue(LoadContext.appendKey(r), r.sender(), now)) {
        context.tryAppend(
            LoadContext.appendKey(r), new UnloadDecided(r.decision(), context.vm), now);
      }
    }
    lost.forEach((endpoint, replicas) -> releaseLost(endpoint, replicas, now));
    dueMs = nextDueMs;
    nextDueMs = new HashMap<>();
  }

  private void planTakeover(Replica r, VmId owner, DecisionRecord record, long now) {
    if (context.goneVms.contains(owner) && isDue("takeover " + r.decision(), owner, now)) {
      context.tryAppend(LoadContext.appendKey(r), record, now);
    }
  }

  private LoadTakenOver takeoverRecord(Replica r) {
    return new LoadTakenOver(r.decision(), r.sender(), context.vm, context.nextNonce());
  }

  /**
   * Returns whether the endpoint has certainly lost a replica. Once a load has finished, no order
   * that could load the replica is in flight, so a newer report without the replica is proof.
   */
  private boolean isLost(Replica r, long now) {
    if (context.isRemoved(r.endpoint())) {
      return true;
    }
    if (r.state() == State.UNLOADING && r.unloader().filter(context.vm::equals).isPresent()) {
      return false;
    }
    long since = context.stateChangedMs(r, now) + context.settings.reportLagMs();
    return context.views.asOfMs(r.endpoint()) >= since
        && context.views.isReportedAbsent(r.endpoint(), r.artifact());
  }

  private void releaseLost(EndpointName endpoint, List<Replica> lost, long now) {
    if (!isDue("lost " + endpoint, lost.get(0).sender(), now)) {
      return;
    }
    List<Long> decisions = lost.stream().map(Replica::decision).toList();
    String incarnation =
        context
            .views
            .reportOf(endpoint)
            .map(EndpointReport::incarnation)
            .orElse(REMOVED_INCARNATION);
    context.tryAppend(
        "endpoint " + endpoint,
        new EndpointRestarted(endpoint, incarnation, decisions, context.vm),
        now);
  }

  private boolean shouldUnload(Replica r, long now) {
    if (context.hasAdapters(r) || context.endpointSpec(r.endpoint()).isEmpty()) {
      return false;
    }
    if (context.isLeaving(r.endpoint())) {
      return true;
    }
    return context.isUsable(r.endpoint(), now)
        && !context.isBusy(r, now)
        && !hasDemand.test(r.artifact())
        && context.idleMs(r, now) >= context.settings.idleUnloadMs();
  }

  private boolean isDue(String key, VmId owner, long now) {
    long jitter = context.settings.takeoverJitterMs();
    long due = dueMs.getOrDefault(key, Long.MIN_VALUE);
    if (due == Long.MIN_VALUE) {
      boolean isOwner = owner.equals(context.vm);
      due = isOwner || jitter == 0 ? now : now + jitter + context.random.nextLong(jitter);
    }
    nextDueMs.put(key, due);
    return due <= now;
  }
}
