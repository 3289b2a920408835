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

/** Decides loads for artifacts in demand, and reports the outlook of each. */
final class LoadPlanner {
  private final LoadContext context;
  private final ArtifactDemandQueue demands;
  private final LoadTimeEstimator estimator;
  private final LoadTargetSelector targetSelector;
  private final Map<ArtifactName, EntryMessage.Outlook> reportedOutlooks = new HashMap<>();

  LoadPlanner(LoadContext context) {
    this.context = context;
    demands = new ArtifactDemandQueue(context.settings.demandTtlMs());
    estimator = new LoadTimeEstimator(context);
    targetSelector = new LoadTargetSelector(context, estimator, demands::contains);
  }

  boolean hasDemand(ArtifactName artifact) {
    return demands.contains(artifact);
  }

  /** Adds a demand and always reports an outlook for it. */
  void addDemand(ArtifactDemand demand, long now) {
    demands.put(demand);
    reportedOutlooks.remove(demand.artifact());
    plan(now);
  }

  /** Decides all loads that are possible now, and reports changed outlooks. */
  void plan(long now) {
    demands.expire(now);
    reportedOutlooks.keySet().removeIf(a -> !demands.contains(a));
    StoreLoadSchedule schedule = new StoreLoadSchedule(context, estimator, now);
    for (ArtifactDemand demand : demands.byPriority(context.configuration, now)) {
      Forecast forecast = rejectIfLate(forecast(demand, false, schedule, now), demand);
      if (reportedOutlooks.put(demand.artifact(), forecast.outlook()) != forecast.outlook()) {
        long expected =
            forecast.outlook() == EntryMessage.Outlook.REFUSED ? 0 : forecast.readyMs() - now;
        context.addAction(
            new LoadAction.SendOutlook(
                demand.artifact(), forecast.outlook(), Math.max(0, expected), forecast.reason()));
      }
    }
  }

  private static Forecast rejectIfLate(Forecast forecast, ArtifactDemand demand) {
    boolean late =
        forecast.outlook() != EntryMessage.Outlook.REFUSED
            && forecast.readyMs() > demand.deadlineMs();
    return late ? Forecast.refused("expected to be ready after the deadline") : forecast;
  }

  /**
   * Returns the forecast for a demanded artifact, and decides its load if possible. An artifact is
   * loaded even if it will be ready too late for the waiting requests, so that later requests find
   * it. Otherwise a model whose load takes longer than its callers' deadlines would never be
   * loaded.
   */
  private Forecast forecast(
      ArtifactDemand demand, boolean additionalReplica, StoreLoadSchedule schedule, long now) {
    Configuration configuration = context.configuration;
    Optional<Long> memoryMb = configuration.memoryMb(demand.artifact());
    if (memoryMb.isEmpty()) {
      return Forecast.refused("unknown model or adapter");
    }
    Collection<Replica> replicas = context.stateMachine.replicasOf(demand.artifact());
    Optional<Forecast> existing =
        additionalReplica ? Optional.empty() : forecastFromReplicas(replicas, now);
    if (existing.isPresent()) {
      return existing.get();
    }
    if (!context.logAvailable) {
      return Forecast.refused("decision log is unavailable");
    }
    if (context.appends.isPending(LoadContext.appendKey(demand.artifact()))) {
      return Forecast.expected(now + estimator.loadMs(isAdapter(demand), true, memoryMb.get()));
    }
    if (replicas.size() >= configuration.maxReplicas(demand.artifact()).orElse(0)) {
      return forecastAtReplicaLimit(replicas, memoryMb.get(), now);
    }
    Optional<ArtifactName> model =
        Optional.ofNullable(configuration.adapters().get(demand.artifact()))
            .map(AdapterSpec::model);
    Optional<LoadCandidate> chosen =
        targetSelector.choose(demand.artifact(), model, memoryMb.get(), schedule, now);
    if (chosen.isPresent()) {
      return decideLoad(demand, model, memoryMb.get(), chosen.get(), schedule, now);
    }
    return model.isPresent()
        ? loadModelFirst(demand.forArtifact(model.get()), schedule, now)
        : Forecast.refused("no endpoint has the memory");
  }

  private Optional<Forecast> forecastFromReplicas(Collection<Replica> replicas, long now) {
    Optional<Forecast> best = Optional.empty();
    for (Replica r : replicas) {
      if (r.state() == State.LOADED && context.isUsable(r.endpoint(), now)) {
        return Optional.of(Forecast.expected(now));
      }
      if (r.state() == State.PENDING && !estimator.isStalled(r, now)) {
        long ready = now + estimator.remainingMs(r, now);
        if (best.isEmpty() || ready < best.get().readyMs()) {
          best = Optional.of(Forecast.expected(ready));
        }
      }
    }
    return best;
  }

  private Forecast forecastAtReplicaLimit(Collection<Replica> replicas, long memoryMb, long now) {
    if (replicas.stream().anyMatch(r -> r.state() == State.UNLOADING)) {
      long ready = now + context.settings.drainMs() + estimator.diskLoadMs(memoryMb);
      return Forecast.queued(ready, "a replica is being unloaded");
    }
    boolean pending = replicas.stream().anyMatch(r -> r.state() == State.PENDING);
    return Forecast.refused(
        pending ? "the outcome of an earlier load is unknown" : "its endpoints do not answer");
  }

  private Forecast loadModelFirst(ArtifactDemand model, StoreLoadSchedule schedule, long now) {
    boolean pending =
        context.stateMachine.replicasOf(model.artifact()).stream()
            .anyMatch(r -> r.state() == State.PENDING && !estimator.isStalled(r, now));
    Forecast forecast = forecast(model, !pending, schedule, now);
    return forecast.outlook() == EntryMessage.Outlook.REFUSED
        ? Forecast.refused("its model: " + forecast.reason())
        : Forecast.queued(
            forecast.readyMs() + estimator.adapterLoadMs(), "its model is not loaded yet");
  }

  private Forecast decideLoad(
      ArtifactDemand demand,
      Optional<ArtifactName> model,
      long memoryMb,
      LoadCandidate candidate,
      StoreLoadSchedule schedule,
      long now) {
    boolean fromStore =
        model.isEmpty() && candidate.checkpoint() == LoadCandidate.CheckpointLocation.REMOTE;
    long loadMs = estimator.loadMs(model.isPresent(), fromStore, memoryMb);
    if (!candidate.fits(memoryMb)) {
      targetSelector.freeMemory(candidate, model, memoryMb, now);
      long ready = now + context.settings.drainMs() + loadMs;
      return Forecast.queued(ready, "memory is being freed");
    }
    long start = fromStore ? schedule.nextStartMs() : now;
    if (fromStore) {
      schedule.reserve(loadMs);
    }
    if (start > now) {
      return Forecast.queued(start + loadMs, "waits for the weight store");
    }
    if (model.isPresent() && availableAdapterPermits() <= 0) {
      return Forecast.queued(now + 2 * loadMs, "waits for other adapter loads");
    }
    String key = LoadContext.appendKey(demand.artifact());
    if (context.tryAppend(key, loadDecision(demand, model, memoryMb, candidate, fromStore), now)) {
      demands.recordLoad(demand.customer(), memoryMb, now);
      return Forecast.expected(now + loadMs);
    }
    return Forecast.queued(now + context.settings.retryMs() + loadMs, "waits for the log");
  }

  private int availableAdapterPermits() {
    long pendingAppends =
        context.appends.pendingLoads().stream().filter(l -> l.basis().model().isPresent()).count();
    return context.configuration.limits().adapterLoadsAtOnce()
        - context.stateMachine.pendingAdapterLoads()
        - (int) pendingAppends;
  }

  private LoadDecided loadDecision(
      ArtifactDemand demand,
      Optional<ArtifactName> model,
      long memoryMb,
      LoadCandidate candidate,
      boolean fromStore) {
    Configuration configuration = context.configuration;
    EndpointSpec spec = configuration.endpoints().get(candidate.endpoint());
    Limits limits = configuration.limits();
    LoadLimits loadLimits =
        new LoadLimits(
            configuration.number(),
            model,
            configuration.maxReplicas(demand.artifact()).orElseThrow(),
            spec.memoryMb(),
            limits.storeLoadsAtOnce(),
            limits.storeLoadsPerSecond(),
            limits.adapterLoadsAtOnce());
    return new LoadDecided(
        candidate.endpoint(),
        demand.artifact(),
        memoryMb,
        fromStore,
        context.vm,
        context.nextNonce(),
        loadLimits);
  }

  private boolean isAdapter(ArtifactDemand demand) {
    return context.configuration.adapters().containsKey(demand.artifact());
  }

  private record Forecast(EntryMessage.Outlook outlook, long readyMs, String reason) {
    static Forecast expected(long readyMs) {
      return new Forecast(EntryMessage.Outlook.EXPECTED, readyMs, "");
    }

    static Forecast queued(long readyMs, String reason) {
      return new Forecast(EntryMessage.Outlook.QUEUED, readyMs, reason);
    }

    static Forecast refused(String reason) {
      return new Forecast(EntryMessage.Outlook.REFUSED, 0, reason);
    }
  }
}
