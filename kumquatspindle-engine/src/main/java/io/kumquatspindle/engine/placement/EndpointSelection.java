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

/** Finds an endpoint for a load, and unloads idle replicas where memory is short. */
final class EndpointSelection {
  // A checkpoint that an endpoint had loaded within this time is assumed to be in its memory still.
  private static final long MEMORY_CACHE_MS = 600_000;

  private final LoadContext context;
  private final LoadTimes times;
  private final Predicate<ArtifactName> wanted;

  EndpointSelection(LoadContext context, LoadTimes times, Predicate<ArtifactName> wanted) {
    this.context = context;
    this.times = times;
    this.wanted = wanted;
  }

  /** Chooses an endpoint that has, or can free, the memory; empty if there is none. */
  Optional<Candidate> choose(
      ArtifactName artifact,
      Optional<ArtifactName> model,
      long memoryMb,
      StoreQueue queue,
      long now) {
    List<Candidate> candidates =
        context.configuration.endpoints().values().stream()
            .filter(s -> s.kind() == EndpointSpec.Kind.ENGINE)
            .filter(s -> context.isUsable(s.name(), now))
            .filter(s -> holds(s.name(), artifact).isEmpty())
            .filter(s -> model.isEmpty() || isLoaded(s.name(), model.get()))
            .map(s -> candidate(s, artifact, model, memoryMb, queue, now))
            .filter(c -> c.canFit(memoryMb))
            .sorted(Comparator.comparing(Candidate::endpoint))
            .toList();
    return candidates.isEmpty() ? Optional.empty() : context.policy.choose(memoryMb, candidates);
  }

  /** Decides unloads on the chosen endpoint so that the memory becomes free. */
  void free(Candidate c, Optional<ArtifactName> model, long memoryMb, long now) {
    long shortage = c.shortageMb(memoryMb);
    List<Replica> idle = idle(c.endpoint(), model, now);
    List<IdleReplica> order =
        context.policy.unloadOrder(idle.stream().map(r -> describe(r, now)).toList());
    for (IdleReplica i : order) {
      if (shortage <= 0) {
        return;
      }
      Replica r = i.replica();
      List<Replica> adapters = adaptersOf(r);
      if (adapters.isEmpty()) {
        unload(r, now);
      } else {
        adapters.forEach(a -> unload(a, now));
      }
      shortage -= r.memoryMb();
    }
  }

  private void unload(Replica r, long now) {
    if (r.state() == State.LOADED) {
      context.append(LoadContext.key(r), new UnloadDecided(r.decision(), context.vm), now);
    }
  }

  private Candidate candidate(
      EndpointSpec spec,
      ArtifactName artifact,
      Optional<ArtifactName> model,
      long memoryMb,
      StoreQueue queue,
      long now) {
    Candidate.Checkpoint checkpoint =
        context.views.checkpoint(spec.name(), artifact, now - MEMORY_CACHE_MS);
    boolean fromStore = model.isEmpty() && checkpoint == Candidate.Checkpoint.REMOTE;
    long wait = fromStore ? queue.nextStartMs() - now : 0;
    long appending =
        context.appends.loads().stream()
            .filter(l -> l.endpoint().equals(spec.name()))
            .mapToLong(LoadDecided::memoryMb)
            .sum();
    long freeing =
        context.fold.replicasOn(spec.name()).stream()
            .filter(r -> r.state() == State.UNLOADING)
            .mapToLong(Replica::memoryMb)
            .sum();
    return new Candidate(
        spec.name(),
        checkpoint,
        spec.memoryMb() - context.fold.reservedMb(spec.name()) - appending,
        freeing,
        idle(spec.name(), model, now).stream().mapToLong(Replica::memoryMb).sum(),
        wait + times.loadMs(model.isPresent(), fromStore, memoryMb));
  }

  /** Returns replicas that may be unloaded: idle, not wanted, with idle adapters only. */
  private List<Replica> idle(EndpointName endpoint, Optional<ArtifactName> keep, long now) {
    List<Replica> idle = new ArrayList<>();
    for (Replica r : context.fold.replicasOn(endpoint)) {
      boolean kept = keep.filter(r.artifact()::equals).isPresent();
      boolean adaptersIdle =
          adaptersOf(r).stream().allMatch(a -> a.state() == State.UNLOADING || isIdle(a, now));
      if (!kept && isIdle(r, now) && adaptersIdle) {
        idle.add(r);
      }
    }
    return idle;
  }

  private boolean isIdle(Replica r, long now) {
    return r.state() == State.LOADED
        && !wanted.test(r.artifact())
        && !context.isBusy(r, now)
        && context.idleMs(r, now) >= context.settings.evictIdleMs();
  }

  private IdleReplica describe(Replica r, long now) {
    double probability = context.history.probability(r.artifact(), context.epochMs(now));
    long reload =
        r.model().isPresent() ? times.adapterMs() : times.loadMs(false, true, r.memoryMb());
    return new IdleReplica(r, context.idleMs(r, now), probability, reload);
  }

  private List<Replica> adaptersOf(Replica model) {
    return context.fold.replicasOn(model.endpoint()).stream()
        .filter(x -> x.model().filter(model.artifact()::equals).isPresent())
        .toList();
  }

  private Collection<Replica> holds(EndpointName endpoint, ArtifactName artifact) {
    return context.fold.replicasOn(endpoint).stream()
        .filter(r -> r.artifact().equals(artifact))
        .toList();
  }

  private boolean isLoaded(EndpointName endpoint, ArtifactName artifact) {
    return holds(endpoint, artifact).stream().anyMatch(r -> r.state() == State.LOADED);
  }
}
