package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** What is known of endpoints: the newest report of each, and the use of their replicas. */
final class EndpointViews {
  // Entry programs tell each second. A restarted one no longer mentions requests of its
  // predecessor,
  // so a use that is not repeated has ended.
  private static final long USE_MAX_AGE_MS = 5_000;

  private final Map<EndpointName, View> views = new HashMap<>();

  /** Keeps a report unless a newer one is known; returns whether it was kept. */
  boolean report(EndpointReport report, long asOfMs) {
    View view = views.computeIfAbsent(report.endpoint(), k -> new View());
    if (view.report != null && asOfMs < view.asOfMs) {
      return false;
    }
    view.report = report;
    view.asOfMs = asOfMs;
    report.loaded().keySet().forEach(a -> view.inMemory.put(a, asOfMs));
    report
        .loaded()
        .forEach(
            (artifact, running) -> {
              if (running > 0) {
                view.use(artifact).lastUseMs = Math.max(view.use(artifact).lastUseMs, asOfMs);
              }
            });
    return true;
  }

  void use(
      EndpointName endpoint,
      ArtifactName artifact,
      boolean inFlight,
      long lastUseMs,
      VmId vm,
      long now) {
    Use use = views.computeIfAbsent(endpoint, k -> new View()).use(artifact);
    use.lastUseMs = Math.max(use.lastUseMs, lastUseMs);
    if (inFlight) {
      use.inFlight.put(vm, now);
    } else {
      use.inFlight.remove(vm);
    }
  }

  void vmGone(VmId vm) {
    views.values().forEach(v -> v.uses.values().forEach(u -> u.inFlight.remove(vm)));
  }

  void retain(Predicate<EndpointName> known, Predicate<ArtifactName> knownArtifact) {
    views.keySet().removeIf(known.negate());
    for (View v : views.values()) {
      v.uses.keySet().removeIf(knownArtifact.negate());
      v.inMemory.keySet().removeIf(knownArtifact.negate());
    }
  }

  Optional<EndpointReport> reportOf(EndpointName endpoint) {
    return Optional.ofNullable(views.get(endpoint)).map(v -> v.report);
  }

  /** Returns the time that the newest report describes, or the lowest value if there is none. */
  long asOfMs(EndpointName endpoint) {
    View view = views.get(endpoint);
    return view == null || view.report == null ? Long.MIN_VALUE : view.asOfMs;
  }

  /** Tells whether the newest report shows the artifact loaded. */
  boolean showsLoaded(EndpointName endpoint, ArtifactName artifact) {
    return reportOf(endpoint).filter(r -> r.loaded().containsKey(artifact)).isPresent();
  }

  /** Tells whether the newest report shows the artifact neither loaded nor loading. */
  boolean showsAbsent(EndpointName endpoint, ArtifactName artifact) {
    return reportOf(endpoint)
        .filter(r -> !r.loaded().containsKey(artifact) && !r.loading().contains(artifact))
        .isPresent();
  }

  /** Tells whether requests of the artifact run or are on their way, as far as is known. */
  boolean isBusy(EndpointName endpoint, ArtifactName artifact, long now) {
    View view = views.get(endpoint);
    if (view == null) {
      return false;
    }
    Use use = view.uses.get(artifact);
    int running = view.report == null ? 0 : view.report.loaded().getOrDefault(artifact, 0);
    return running > 0
        || (use != null
            && use.inFlight.values().stream().anyMatch(ms -> ms >= now - USE_MAX_AGE_MS));
  }

  /** Returns the time of the last known use, or the lowest value if there is none. */
  long lastUseMs(EndpointName endpoint, ArtifactName artifact) {
    View view = views.get(endpoint);
    Use use = view == null ? null : view.uses.get(artifact);
    return use == null ? Long.MIN_VALUE : use.lastUseMs;
  }

  Candidate.Checkpoint checkpoint(
      EndpointName endpoint, ArtifactName artifact, long memorySinceMs) {
    View view = views.get(endpoint);
    if (view == null || view.report == null || !view.report.onDisk().contains(artifact)) {
      return Candidate.Checkpoint.REMOTE;
    }
    boolean recent = view.inMemory.getOrDefault(artifact, Long.MIN_VALUE) >= memorySinceMs;
    return recent ? Candidate.Checkpoint.MEMORY : Candidate.Checkpoint.DISK;
  }

  private static final class View {
    private final Map<ArtifactName, Use> uses = new HashMap<>();
    private final Map<ArtifactName, Long> inMemory = new HashMap<>();
    private EndpointReport report;
    private long asOfMs;

    private Use use(ArtifactName artifact) {
      return uses.computeIfAbsent(artifact, k -> new Use());
    }
  }

  private static final class Use {
    private final Map<VmId, Long> inFlight = new HashMap<>();
    private long lastUseMs = Long.MIN_VALUE;
  }
}
