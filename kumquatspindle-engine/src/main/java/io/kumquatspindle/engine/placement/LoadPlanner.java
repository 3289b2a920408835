package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.AdapterSpec;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.record.DecisionRecord.LoadDecided;
import io.kumquatspindle.api.record.DecisionRecord.LoadLimits;
import io.kumquatspindle.engine.placement.Replica.State;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Decides loads for wanted artifacts and tells what becomes of each. */
final class LoadPlanner {
  private final LoadContext context;
  private final Wants wants;
  private final LoadTimes times;
  private final EndpointSelection selection;
  private final Map<ArtifactName, EntryMessage.Outlook> told = new HashMap<>();

  LoadPlanner(LoadContext context) {
    this.context = context;
    wants = new Wants(context.settings.wantTtlMs());
    times = new LoadTimes(context);
    selection = new EndpointSelection(context, times, wants::contains);
  }

  boolean isWanted(ArtifactName artifact) {
    return wants.contains(artifact);
  }

  /** Notes that requests wait and answers with an outlook. */
  void wanted(Want want, long now) {
    wants.put(want);
    told.remove(want.artifact());
    plan(now);
  }

  /** Decides what can be decided now, and tells outlooks that have changed. */
  void plan(long now) {
    wants.expire(now);
    told.keySet().removeIf(a -> !wants.contains(a));
    StoreQueue queue = new StoreQueue(context, times, now);
    for (Want w : wants.inOrder(context.configuration, now)) {
      Prospect p = refuseLate(prospect(w, false, queue, now), w);
      if (told.put(w.artifact(), p.outlook()) != p.outlook()) {
        long expected = p.outlook() == EntryMessage.Outlook.REFUSED ? 0 : p.readyMs() - now;
        context.emit(
            new LoadAction.Outlook(w.artifact(), p.outlook(), Math.max(0, expected), p.reason()));
      }
    }
  }

  private static Prospect refuseLate(Prospect p, Want w) {
    boolean late = p.outlook() != EntryMessage.Outlook.REFUSED && p.readyMs() > w.deadlineMs();
    return late ? Prospect.refused("expected to be ready after the deadline") : p;
  }

  /**
   * Tells what becomes of a wanted artifact, and decides its load if possible. The load of an
   * artifact that will be ready too late for its present requests is decided all the same, so that
   * later requests find it; otherwise a model whose load takes longer than its callers' deadlines
   * would never be loaded.
   */
  private Prospect prospect(Want w, boolean another, StoreQueue queue, long now) {
    Configuration c = context.configuration;
    Optional<Long> memory = c.memoryMb(w.artifact());
    if (memory.isEmpty()) {
      return Prospect.refused("unknown model or adapter");
    }
    Collection<Replica> replicas = context.fold.replicasOf(w.artifact());
    Optional<Prospect> present = another ? Optional.empty() : present(replicas, now);
    if (present.isPresent()) {
      return present.get();
    }
    if (!context.logAvailable) {
      return Prospect.refused("decision log is unavailable");
    }
    if (context.appends.isOutstanding(LoadContext.key(w.artifact()))) {
      return Prospect.expected(now + times.loadMs(isAdapter(w), true, memory.get()));
    }
    if (replicas.size() >= c.maxReplicas(w.artifact()).orElse(0)) {
      return full(replicas, memory.get(), now);
    }
    Optional<ArtifactName> model =
        Optional.ofNullable(c.adapters().get(w.artifact())).map(AdapterSpec::model);
    Optional<Candidate> chosen = selection.choose(w.artifact(), model, memory.get(), queue, now);
    if (chosen.isPresent()) {
      return place(w, model, memory.get(), chosen.get(), queue, now);
    }
    return model.isPresent()
        ? modelFirst(w.of(model.get()), queue, now)
        : Prospect.refused("no endpoint has the memory");
  }

  private Optional<Prospect> present(Collection<Replica> replicas, long now) {
    Optional<Prospect> best = Optional.empty();
    for (Replica r : replicas) {
      if (r.state() == State.LOADED && context.isUsable(r.endpoint(), now)) {
        return Optional.of(Prospect.expected(now));
      }
      if (r.state() == State.PENDING && !times.isStalled(r, now)) {
        long ready = now + times.remainingMs(r, now);
        if (best.isEmpty() || ready < best.get().readyMs()) {
          best = Optional.of(Prospect.expected(ready));
        }
      }
    }
    return best;
  }

  private Prospect full(Collection<Replica> replicas, long memoryMb, long now) {
    if (replicas.stream().anyMatch(r -> r.state() == State.UNLOADING)) {
      long ready = now + context.settings.drainMs() + times.diskMs(memoryMb);
      return Prospect.queued(ready, "a replica is being unloaded");
    }
    boolean pending = replicas.stream().anyMatch(r -> r.state() == State.PENDING);
    return Prospect.refused(
        pending ? "the outcome of an earlier load is unknown" : "its endpoints do not answer");
  }

  private Prospect modelFirst(Want model, StoreQueue queue, long now) {
    boolean pending =
        context.fold.replicasOf(model.artifact()).stream()
            .anyMatch(r -> r.state() == State.PENDING && !times.isStalled(r, now));
    Prospect p = prospect(model, !pending, queue, now);
    return p.outlook() == EntryMessage.Outlook.REFUSED
        ? Prospect.refused("its model: " + p.reason())
        : Prospect.queued(p.readyMs() + times.adapterMs(), "its model is not loaded yet");
  }

  private Prospect place(
      Want w,
      Optional<ArtifactName> model,
      long memoryMb,
      Candidate c,
      StoreQueue queue,
      long now) {
    boolean fromStore = model.isEmpty() && c.checkpoint() == Candidate.Checkpoint.REMOTE;
    long loadMs = times.loadMs(model.isPresent(), fromStore, memoryMb);
    if (!c.fits(memoryMb)) {
      selection.free(c, model, memoryMb, now);
      long ready = now + context.settings.drainMs() + loadMs;
      return Prospect.queued(ready, "memory is being freed");
    }
    long start = fromStore ? queue.nextStartMs() : now;
    if (fromStore) {
      queue.take(loadMs);
    }
    if (start > now) {
      return Prospect.queued(start + loadMs, "waits for the weight store");
    }
    if (model.isPresent() && adapterPermits() <= 0) {
      return Prospect.queued(now + 2 * loadMs, "waits for other adapter loads");
    }
    String key = LoadContext.key(w.artifact());
    if (context.append(key, record(w, model, memoryMb, c, fromStore), now)) {
      wants.served(w.customer(), memoryMb, now);
      return Prospect.expected(now + loadMs);
    }
    return Prospect.queued(now + context.settings.retryMs() + loadMs, "waits for the log");
  }

  private int adapterPermits() {
    long appending =
        context.appends.loads().stream().filter(l -> l.basis().model().isPresent()).count();
    return context.configuration.limits().adapterLoadsAtOnce()
        - context.fold.pendingAdapterLoads()
        - (int) appending;
  }

  private LoadDecided record(
      Want w, Optional<ArtifactName> model, long memoryMb, Candidate c, boolean fromStore) {
    Configuration configuration = context.configuration;
    EndpointSpec spec = configuration.endpoints().get(c.endpoint());
    Limits limits = configuration.limits();
    LoadLimits basis =
        new LoadLimits(
            configuration.number(),
            model,
            configuration.maxReplicas(w.artifact()).orElseThrow(),
            spec.memoryMb(),
            limits.storeLoadsAtOnce(),
            limits.storeLoadsPerSecond(),
            limits.adapterLoadsAtOnce());
    return new LoadDecided(
        c.endpoint(), w.artifact(), memoryMb, fromStore, context.vm, context.nextNonce(), basis);
  }

  private boolean isAdapter(Want w) {
    return context.configuration.adapters().containsKey(w.artifact());
  }

  private record Prospect(EntryMessage.Outlook outlook, long readyMs, String reason) {
    static Prospect expected(long readyMs) {
      return new Prospect(EntryMessage.Outlook.EXPECTED, readyMs, "");
    }

    static Prospect queued(long readyMs, String reason) {
      return new Prospect(EntryMessage.Outlook.QUEUED, readyMs, reason);
    }

    static Prospect refused(String reason) {
      return new Prospect(EntryMessage.Outlook.REFUSED, 0, reason);
    }
  }
}
