package io.kumquatspindle.engine.placement;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.DecisionRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** State that the duties of a {@link LoadController} share. */
final class LoadContext {
  final VmId vm;
  final PlacementFold fold;
  final PlacementPolicy policy;
  final LoadSettings settings;
  final RandomGenerator random;
  final Appends appends;
  final EndpointViews views = new EndpointViews();
  final UseHistory history = new UseHistory();
  final Set<VmId> gone = new HashSet<>();
  Configuration configuration = Configuration.EMPTY;
  boolean logAvailable = true;
  double storeMbPerSecond;

  private final Map<Long, Long> changedMs = new HashMap<>();
  private List<LoadAction> actions = new ArrayList<>();
  private final String noncePrefix;
  private long lastNonce;
  private long logTimeSeenMs;

  LoadContext(LoadController.Builder b, long now) {
    vm = b.vm;
    noncePrefix = b.vm + "/" + b.incarnation + "/";
    fold = b.fold;
    policy = b.policy;
    settings = b.settings;
    random = b.random;
    appends = new Appends(settings);
    storeMbPerSecond = settings.storeMbPerSecond();
    logTimeSeenMs = now;
    fold.replicas().forEach(r -> changedMs.put(r.decision(), now));
  }

  void emit(LoadAction action) {
    actions.add(action);
  }

  List<LoadAction> takeActions() {
    List<LoadAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  boolean append(String key, DecisionRecord record, long now) {
    return logAvailable && appends.append(key, record, now, actions);
  }

  static String key(Replica r) {
    return "decision " + r.decision();
  }

  static String key(ArtifactName artifact) {
    return "artifact " + artifact;
  }

  String nextNonce() {
    return noncePrefix + ++lastNonce;
  }

  /** Tells whether this controller, rather than a predecessor on the same VM, decided the load. */
  boolean isOwn(Replica r) {
    return r.nonce() != null && r.nonce().startsWith(noncePrefix);
  }

  /** Notes when this VM learned of a replica's state, for comparisons with reports. */
  void changed(long decision, long now) {
    if (fold.replica(decision).isPresent()) {
      changedMs.put(decision, now);
    } else {
      changedMs.remove(decision);
    }
  }

  void logTimeSeen(long now) {
    logTimeSeenMs = now;
  }

  /** Returns when this VM learned of the replica's state. */
  long changedMs(Replica r, long now) {
    return changedMs.computeIfAbsent(r.decision(), k -> now);
  }

  /** Returns the estimated time of the log's clock, in milliseconds since the epoch. */
  long epochMs(long now) {
    return fold.timeMs() + Math.max(0, now - logTimeSeenMs);
  }

  Optional<EndpointSpec> spec(EndpointName endpoint) {
    return Optional.ofNullable(configuration.endpoints().get(endpoint));
  }

  /**
   * Tells whether the configuration is recent enough to conclude that an endpoint was removed; an
   * older one may not contain an endpoint yet that another VM has already used.
   */
  boolean isConfigurationRecent() {
    return configuration.number() > 0 && configuration.number() >= fold.configurationNumber();
  }

  boolean isRemoved(EndpointName endpoint) {
    return isConfigurationRecent() && spec(endpoint).isEmpty();
  }

  boolean isLeaving(EndpointName endpoint) {
    return spec(endpoint).filter(EndpointSpec::leaving).isPresent()
        || views.reportOf(endpoint).filter(r -> r.leaving()).isPresent();
  }

  /** Tells whether the endpoint answers and takes new work. */
  boolean isUsable(EndpointName endpoint, long now) {
    return spec(endpoint).isPresent()
        && !isLeaving(endpoint)
        && views.asOfMs(endpoint) >= now - settings.reportMaxAgeMs();
  }

  /** Tells whether adapters of the replica's model are on its endpoint, in any state. */
  boolean hasAdapters(Replica r) {
    return fold.replicasOn(r.endpoint()).stream()
        .anyMatch(x -> x.model().filter(r.artifact()::equals).isPresent());
  }

  boolean isBusy(Replica r, long now) {
    return views.isBusy(r.endpoint(), r.artifact(), now);
  }

  /** Returns the time since the last known use, or since the end of the load. */
  long idleMs(Replica r, long now) {
    long lastUse = views.lastUseMs(r.endpoint(), r.artifact());
    return now - Math.max(lastUse, changedMs(r, now));
  }
}
