package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.UnloadDecided;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Selects the target endpoint of a load, and evicts idle replicas there if memory is short. */
final class LoadTargetSelector {
  // An endpoint that had a checkpoint loaded within this time is assumed to cache it in memory.
  private static final long CACHED_IN_MEMORY_MS = 600_000;

  private final LoadContext context;
  private final LoadTimeEstimator estimator;
  private final Predicate<ArtifactName> hasDemand;

  LoadTargetSelector(
      LoadContext context, LoadTimeEstimator estimator, Predicate<ArtifactName> hasDemand) {
    this.context = context;
    this.estimator = estimator;
    this.hasDemand = hasDemand;
  }

  /** Chooses an endpoint that has the memory or can free it by eviction; empty if there is none. */
  Optional<LoadCandidate> choose(
      ArtifactName artifact,
      Optional<ArtifactName> model,
      long memoryMb,
      StoreLoadSchedule schedule,
      long now) {
    List<LoadCandidate> candidates =
        context.configuration.endpoints().values().stream()
            .filter(s -> s.kind() == EndpointSpec.Kind.ENGINE)
            .filter(s -> context.isUsable(s.name(), now))
            .filter(s -> replicasOf(s.name(), artifact).isEmpty())
            .filter(s -> model.isEmpty() || isLoaded(s.name(), model.get()))
            .map(s -> candidate(s, artifact, model, memoryMb, schedule, now))
            .filter(c -> c.fitsAfterEviction(memoryMb))
            .sorted(Comparator.comparing(LoadCandidate::endpoint))
            .toList();
    return candidates.isEmpty() ? Optional.empty() : context.policy.choose(memoryMb, candidates);
  }

  /** Decides the unloads on the chosen endpoint that are needed to free the memory. */
  void freeMemory(LoadCandidate candidate, Optional<ArtifactName> model, long memoryMb, long now) {
    long shortageMb = candidate.shortageMb(memoryMb);
    List<Replica> idle = evictableReplicas(candidate.endpoint(), model, now);
    List<IdleReplica> evictionOrder =
        context.policy.evictionOrder(idle.stream().map(r -> toIdleReplica(r, now)).toList());
    for (IdleReplica i : evictionOrder) {
      if (shortageMb <= 0) {
        return;
      }
      Replica r = i.replica();
      List<Replica> adapters = adaptersOf(r);
      if (adapters.isEmpty()) {
        decideUnload(r, now);
      } else {
        adapters.forEach(a -> decideUnload(a, now));
      }
      shortageMb -= r.memoryMb();
    }
  }

  private void decideUnload(Replica r, long now) {
    if (r.state() == State.LOADED) {
      context.tryAppend(LoadContext.appendKey(r), new UnloadDecided(r.decision(), context.vm), now);
    }
  }

  private LoadCandidate candidate(
      EndpointSpec spec,
      ArtifactName artifact,
      Optional<ArtifactName> model,
      long memoryMb,
      StoreLoadSchedule schedule,
      long now) {
    LoadCandidate.CheckpointLocation checkpoint =
        context.views.checkpointLocation(spec.name(), artifact, now - CACHED_IN_MEMORY_MS);
    boolean fromStore = model.isEmpty() && checkpoint == LoadCandidate.CheckpointLocation.REMOTE;
    long storeWaitMs = fromStore ? schedule.nextStartMs() - now : 0;
    long pendingAppendMb =
        context.appends.pendingLoads().stream()
            .filter(l -> l.endpoint().equals(spec.name()))
            .mapToLong(LoadDecided::memoryMb)
            .sum();
    long unloadingMb =
        context.stateMachine.replicasOn(spec.name()).stream()
            .filter(r -> r.state() == State.UNLOADING)
            .mapToLong(Replica::memoryMb)
            .sum();
    return new LoadCandidate(
        spec.name(),
        checkpoint,
        spec.memoryMb() - context.stateMachine.reservedMb(spec.name()) - pendingAppendMb,
        unloadingMb,
        evictableReplicas(spec.name(), model, now).stream().mapToLong(Replica::memoryMb).sum(),
        storeWaitMs + estimator.loadMs(model.isPresent(), fromStore, memoryMb));
  }

  /**
   * Returns the replicas that may be evicted: idle, without demand, and with idle adapters only.
   */
  private List<Replica> evictableReplicas(
      EndpointName endpoint, Optional<ArtifactName> retained, long now) {
    List<Replica> evictable = new ArrayList<>();
    for (Replica r : context.stateMachine.replicasOn(endpoint)) {
      boolean isRetained = retained.filter(r.artifact()::equals).isPresent();
      boolean adaptersIdle =
          adaptersOf(r).stream().allMatch(a -> a.state() == State.UNLOADING || isEvictable(a, now));
      if (!isRetained && isEvictable(r, now) && adaptersIdle) {
        evictable.add(r);
      }
    }
    return evictable;
  }

  private boolean isEvictable(Replica r, long now) {
    return r.state() == State.LOADED
        && !hasDemand.test(r.artifact())
        && !context.isBusy(r, now)
        && context.idleMs(r, now) >= context.settings.minEvictionIdleMs();
  }

  private IdleReplica toIdleReplica(Replica r, long now) {
    double probability = context.history.probability(r.artifact(), context.estimatedLogTimeMs(now));
    long reloadMs =
        r.model().isPresent()
            ? estimator.adapterLoadMs()
            : estimator.loadMs(false, true, r.memoryMb());
    return new IdleReplica(r, context.idleMs(r, now), probability, reloadMs);
  }

  private List<Replica> adaptersOf(Replica model) {
    return context.stateMachine.replicasOn(model.endpoint()).stream()
        .filter(x -> x.model().filter(model.artifact()::equals).isPresent())
        .toList();
  }

  private Collection<Replica> replicasOf(EndpointName endpoint, ArtifactName artifact) {
    return context.stateMachine.replicasOn(endpoint).stream()
        .filter(r -> r.artifact().equals(artifact))
        .toList();
  }

  private boolean isLoaded(EndpointName endpoint, ArtifactName artifact) {
    return replicasOf(endpoint, artifact).stream().anyMatch(r -> r.state() == State.LOADED);
  }
}
