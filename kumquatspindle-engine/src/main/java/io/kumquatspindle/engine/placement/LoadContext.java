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

/** State shared by the components of a {@link LoadController}. */
final class LoadContext {
  final VmId vm;
  final PlacementStateMachine stateMachine;
  final PlacementPolicy policy;
  final LoadSettings settings;
  final RandomGenerator random;
  final PendingAppends appends;
  final EndpointViews views = new EndpointViews();
  final UsageHistory history = new UsageHistory();
  final Set<VmId> goneVms = new HashSet<>();
  Configuration configuration = Configuration.EMPTY;
  boolean logAvailable = true;
  double storeMbPerSecond;

  private final Map<Long, Long> stateChangedMs = new HashMap<>();
  private List<LoadAction> actions = new ArrayList<>();
  private final String noncePrefix;
  private long lastNonce;
  private long logTimeUpdatedMs;

  LoadContext(LoadController.Builder builder, long now) {
    vm = builder.vm;
    noncePrefix = builder.vm + "/" + builder.incarnation + "/";
    stateMachine = builder.stateMachine;
    policy = builder.policy;
    settings = builder.settings;
    random = builder.random;
    appends = new PendingAppends(settings);
    storeMbPerSecond = settings.storeMbPerSecond();
    logTimeUpdatedMs = now;
    stateMachine.replicas().forEach(r -> stateChangedMs.put(r.decision(), now));
  }

  void addAction(LoadAction action) {
    actions.add(action);
  }

  List<LoadAction> drainActions() {
    List<LoadAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }

  boolean tryAppend(String key, DecisionRecord record, long now) {
    return logAvailable && appends.tryAppend(key, record, now, actions);
  }

  static String appendKey(Replica r) {
    return "decision " + r.decision();
  }

  static String appendKey(ArtifactName artifact) {
    return "artifact " + artifact;
  }

  String nextNonce() {
    return noncePrefix + ++lastNonce;
  }

  /**
   * Returns whether this controller, not a predecessor on its VM, decided or took over the load.
   */
  boolean isOwnDecision(Replica r) {
    return r.nonce() != null && r.nonce().startsWith(noncePrefix);
  }

  /** Records when this VM learned of a replica's state, for comparison with endpoint reports. */
  void recordStateChange(long decision, long now) {
    if (stateMachine.replica(decision).isPresent()) {
      stateChangedMs.put(decision, now);
    } else {
      stateChangedMs.remove(decision);
    }
  }

  void logTimeUpdated(long now) {
    logTimeUpdatedMs = now;
  }

  /** Returns the time at which this VM learned of the replica's state. */
  long stateChangedMs(Replica r, long now) {
    return stateChangedMs.computeIfAbsent(r.decision(), k -> now);
  }

  /** Returns the estimated time of the log's clock, in milliseconds since the epoch. */
  long estimatedLogTimeMs(long now) {
    return stateMachine.timeMs() + Math.max(0, now - logTimeUpdatedMs);
  }

  Optional<EndpointSpec> endpointSpec(EndpointName endpoint) {
    return Optional.ofNullable(configuration.endpoints().get(endpoint));
  }

  /**
   * Returns whether the configuration is recent enough to conclude that an endpoint was removed. An
   * older one may not yet contain an endpoint that another VM already uses.
   */
  boolean isConfigurationRecent() {
    return configuration.number() > 0
        && configuration.number() >= stateMachine.configurationNumber();
  }

  boolean isRemoved(EndpointName endpoint) {
    return isConfigurationRecent() && endpointSpec(endpoint).isEmpty();
  }

  boolean isLeaving(EndpointName endpoint) {
    return endpointSpec(endpoint).filter(EndpointSpec::leaving).isPresent()
        || views.reportOf(endpoint).filter(r -> r.leaving()).isPresent();
  }

  /** Returns whether the endpoint is reporting and accepts new work. */
  boolean isUsable(EndpointName endpoint, long now) {
    return endpointSpec(endpoint).isPresent()
        && !isLeaving(endpoint)
        && views.asOfMs(endpoint) >= now - settings.reportMaxAgeMs();
  }

  /** Returns whether the replica's endpoint has adapters of its model, in any state. */
  boolean hasAdapters(Replica r) {
    return stateMachine.replicasOn(r.endpoint()).stream()
        .anyMatch(x -> x.model().filter(r.artifact()::equals).isPresent());
  }

  boolean isBusy(Replica r, long now) {
    return views.isBusy(r.endpoint(), r.artifact(), now);
  }

  /** Returns the time since the last known use, or since the end of the load. */
  long idleMs(Replica r, long now) {
    long lastUse = views.lastUseMs(r.endpoint(), r.artifact());
    return now - Math.max(lastUse, stateChangedMs(r, now));
  }
}
