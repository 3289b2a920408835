package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.routing.EndpointChooser;
import io.kumquatspindle.engine.routing.RoutingCandidate;
import io.kumquatspindle.entry.control.ControlState;
import io.kumquatspindle.entry.request.Target;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Selects the endpoint for the next attempt. */
public final class EndpointPicker {
  private final ControlState controlState;
  private final FailureDomain ownDomain;
  private final EndpointChooser chooser;
  private final MonotonicClock clock;

  /**
   * Creates a picker.
   *
   * @param controlState state received from control
   * @param ownDomain failure domain of this VM
   * @param chooser chooses among the eligible endpoints
   * @param clock the clock
   */
  public EndpointPicker(
      ControlState controlState,
      FailureDomain ownDomain,
      EndpointChooser chooser,
      MonotonicClock clock) {
    this.controlState = controlState;
    this.ownDomain = ownDomain;
    this.chooser = chooser;
    this.clock = clock;
  }

  // Returns empty if every endpoint has been tried or is excluded from new requests.
  Optional<EndpointSpec> pick(Target target, Set<EndpointName> tried) {
    long now = clock.nowMs();
    Map<EndpointName, EndpointSpec> specs =
        controlState.configuration().configuration().endpoints();
    List<RoutingCandidate> candidates =
        eligible(target).stream()
            .filter(e -> !tried.contains(e))
            .map(specs::get)
            .filter(Objects::nonNull)
            .map(s -> controlState.loads().candidate(s, now))
            .toList();
    return chooser.choose(candidates, ownDomain, ThreadLocalRandom.current()).map(specs::get);
  }

  // Returns whether the target is a model without a ready replica.
  boolean hasNoReadyReplica(Target target) {
    return target.fold(
        c -> controlState.placement().readyEndpoints(c.artifact()).isEmpty(),
        s -> false,
        l -> false);
  }

  private List<EndpointName> eligible(Target target) {
    return target.fold(
        c -> controlState.placement().readyEndpoints(c.artifact()),
        s -> s.spec().endpoints(),
        l -> List.of());
  }
}
