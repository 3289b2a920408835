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
 * Takes over from VMs that are gone, releases replicas that endpoints have lost, and unloads
 * replicas that are idle or on a leaving endpoint. The VM that sent a replica's load order acts
 * first; others act after a random wait if it has not, so that few VMs append the same record.
 */
final class Upkeep {
  private static final String REMOVED = "removed";

  private final LoadContext context;
  private final Predicate<ArtifactName> wanted;
  private Map<String, Long> dueMs = new HashMap<>();
  private Map<String, Long> nextDueMs = new HashMap<>();

  Upkeep(LoadContext context, Predicate<ArtifactName> wanted) {
    this.context = context;
    this.wanted = wanted;
  }

  void plan(long now) {
    Map<EndpointName, List<Replica>> lost = new TreeMap<>();
    for (Replica r : List.copyOf(context.fold.replicas())) {
      if (r.state() == State.PENDING) {
        planTakeover(r, r.sender(), takeover(r), now);
      } else if (isLost(r, now)) {
        lost.computeIfAbsent(r.endpoint(), k -> new ArrayList<>()).add(r);
      } else if (r.state() == State.UNLOADING) {
        VmId unloader = r.unloader().orElse(r.sender());
        planTakeover(r, unloader, new UnloadDecided(r.decision(), context.vm), now);
      } else if (shouldUnload(r, now) && isDue(LoadContext.key(r), r.sender(), now)) {
        context.append(LoadContext.key(r), new UnloadDecided(r.decision(), context.vm), now);
      }
    }
    lost.forEach((endpoint, replicas) -> release(endpoint, replicas, now));
    dueMs = nextDueMs;
    nextDueMs = new HashMap<>();
  }

  private void planTakeover(Replica r, VmId owner, DecisionRecord record, long now) {
    if (context.gone.contains(owner) && isDue("takeover " + r.decision(), owner, now)) {
      context.append(LoadContext.key(r), record, now);
    }
  }

  private LoadTakenOver takeover(Replica r) {
    return new LoadTakenOver(r.decision(), r.sender(), context.vm, context.nextNonce());
  }

  /**
   * Tells whether the endpoint has certainly lost a replica. No order that could load it is under
   * way once its load has finished, so a report that is newer and does not show it is proof.
   */
  private boolean isLost(Replica r, long now) {
    if (context.isRemoved(r.endpoint())) {
      return true;
    }
    if (r.state() == State.UNLOADING && r.unloader().filter(context.vm::equals).isPresent()) {
      return false;
    }
    long since = context.changedMs(r, now) + context.settings.reportLagMs();
    return context.views.asOfMs(r.endpoint()) >= since
        && context.views.showsAbsent(r.endpoint(), r.artifact());
  }

  private void release(EndpointName endpoint, List<Replica> lost, long now) {
    if (!isDue("lost " + endpoint, lost.get(0).sender(), now)) {
      return;
    }
    List<Long> decisions = lost.stream().map(Replica::decision).toList();
    String incarnation =
        context.views.reportOf(endpoint).map(EndpointReport::incarnation).orElse(REMOVED);
    context.append(
        "endpoint " + endpoint,
        new EndpointRestarted(endpoint, incarnation, decisions, context.vm),
        now);
  }

  private boolean shouldUnload(Replica r, long now) {
    if (context.hasAdapters(r) || context.spec(r.endpoint()).isEmpty()) {
      return false;
    }
    if (context.isLeaving(r.endpoint())) {
      return true;
    }
    return context.isUsable(r.endpoint(), now)
        && !context.isBusy(r, now)
        && !wanted.test(r.artifact())
        && context.idleMs(r, now) >= context.settings.idleUnloadMs();
  }

  private boolean isDue(String key, VmId owner, long now) {
    long jitter = context.settings.takeoverJitterMs();
    long due = dueMs.getOrDefault(key, Long.MIN_VALUE);
    if (due == Long.MIN_VALUE) {
      boolean first = owner.equals(context.vm);
      due = first || jitter == 0 ? now : now + jitter + context.random.nextLong(jitter);
    }
    nextDueMs.put(key, due);
    return due <= now;
  }
}
