package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** This VM's view of each endpoint: its newest report, and the usage of its replicas. */
final class EndpointViews {
  // Entry programs report in-flight requests every second. A restarted one does not report the
  // requests of its predecessor, so a usage that is no longer reported has ended.
  private static final long USAGE_MAX_AGE_MS = 5_000;

  private final Map<EndpointName, View> views = new HashMap<>();

  /** Stores a report unless a newer one is known; returns whether it was stored. */
  boolean updateReport(EndpointReport report, long asOfMs) {
    View view = views.computeIfAbsent(report.endpoint(), k -> new View());
    if (view.report != null && asOfMs < view.asOfMs) {
      return false;
    }
    view.report = report;
    view.asOfMs = asOfMs;
    report.loaded().keySet().forEach(a -> view.lastLoadedMs.put(a, asOfMs));
    report
        .loaded()
        .forEach(
            (artifact, running) -> {
              if (running > 0) {
                view.usageOf(artifact).lastUseMs =
                    Math.max(view.usageOf(artifact).lastUseMs, asOfMs);
              }
            });
    return true;
  }

  void updateUsage(
      EndpointName endpoint,
      ArtifactName artifact,
      boolean inFlight,
      long lastUseMs,
      VmId vm,
      long now) {
    Usage usage = views.computeIfAbsent(endpoint, k -> new View()).usageOf(artifact);
    usage.lastUseMs = Math.max(usage.lastUseMs, lastUseMs);
    if (inFlight) {
      usage.inFlightReportedMs.put(vm, now);
    } else {
      usage.inFlightReportedMs.remove(vm);
    }
  }

  void removeVm(VmId vm) {
    views.values().forEach(v -> v.usages.values().forEach(u -> u.inFlightReportedMs.remove(vm)));
  }

  void retain(Predicate<EndpointName> knownEndpoint, Predicate<ArtifactName> knownArtifact) {
    views.keySet().removeIf(knownEndpoint.negate());
    for (View v : views.values()) {
      v.usages.keySet().removeIf(knownArtifact.negate());
      v.lastLoadedMs.keySet().removeIf(knownArtifact.negate());
    }
  }

  Optional<EndpointReport> reportOf(EndpointName endpoint) {
    return Optional.ofNullable(views.get(endpoint)).map(v -> v.report);
  }

  /** Returns the as-of time of the newest report, or {@link Long#MIN_VALUE} if there is none. */
  long asOfMs(EndpointName endpoint) {
    View view = views.get(endpoint);
    return view == null || view.report == null ? Long.MIN_VALUE : view.asOfMs;
  }

  /** Returns whether the newest report lists the artifact as loaded. */
  boolean isReportedLoaded(EndpointName endpoint, ArtifactName artifact) {
    return reportOf(endpoint).filter(r -> r.loaded().containsKey(artifact)).isPresent();
  }

  /** Returns whether the newest report lists the artifact neither as loaded nor as loading. */
  boolean isReportedAbsent(EndpointName endpoint, ArtifactName artifact) {
    return reportOf(endpoint)
        .filter(r -> !r.loaded().containsKey(artifact) && !r.loading().contains(artifact))
        .isPresent();
  }

  /** Returns whether requests for the artifact are known to be running or in flight. */
  boolean isBusy(EndpointName endpoint, ArtifactName artifact, long now) {
    View view = views.get(endpoint);
    if (view == null) {
      return false;
    }
    Usage usage = view.usages.get(artifact);
    int running = view.report == null ? 0 : view.report.loaded().getOrDefault(artifact, 0);
    return running > 0
        || (usage != null
            && usage.inFlightReportedMs.values().stream()
                .anyMatch(ms -> ms >= now - USAGE_MAX_AGE_MS));
  }

  /** Returns the time of the last known use, or {@link Long#MIN_VALUE} if there is none. */
  long lastUseMs(EndpointName endpoint, ArtifactName artifact) {
    View view = views.get(endpoint);
    Usage usage = view == null ? null : view.usages.get(artifact);
    return usage == null ? Long.MIN_VALUE : usage.lastUseMs;
  }

  LoadCandidate.CheckpointLocation checkpointLocation(
      EndpointName endpoint, ArtifactName artifact, long memorySinceMs) {
    View view = views.get(endpoint);
    if (view == null || view.report == null || !view.report.onDisk().contains(artifact)) {
      return LoadCandidate.CheckpointLocation.REMOTE;
    }
    boolean recent = view.lastLoadedMs.getOrDefault(artifact, Long.MIN_VALUE) >= memorySinceMs;
    return recent ? LoadCandidate.CheckpointLocation.MEMORY : LoadCandidate.CheckpointLocation.DISK;
  }

  private static final class View {
    private final Map<ArtifactName, Usage> usages = new HashMap<>();
    private final Map<ArtifactName, Long> lastLoadedMs = new HashMap<>();
    private EndpointReport report;
    private long asOfMs;

    private Usage usageOf(ArtifactName artifact) {
      return usages.computeIfAbsent(artifact, k -> new Usage());
    }
  }

  private static final class Usage {
    private final Map<VmId, Long> inFlightReportedMs = new HashMap<>();
    private long lastUseMs = Long.MIN_VALUE;
  }
}
