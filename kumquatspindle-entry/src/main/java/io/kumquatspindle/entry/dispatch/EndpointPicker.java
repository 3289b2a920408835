package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.routing.EndpointChooser;
import io.kumquatspindle.engine.routing.RoutingCandidate;
import io.kumquatspindle.entry.control.Views;
import io.kumquatspindle.entry.request.Target;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Picks the endpoint of the next attempt. */
public final class EndpointPicker {
  private final Views views;
  private final FailureDomain own;
  private final EndpointChooser chooser;
  private final MonotonicClock clock;

  /**
   * Creates a picker.
   *
   * @param views state that control sends
   * @param own failure domain of this VM
   * @param chooser chooses among the possible endpoints
   * @param clock the clock
   */
  public EndpointPicker(
      Views views, FailureDomain own, EndpointChooser chooser, MonotonicClock clock) {
    this.views = views;
    this.own = own;
    this.chooser = chooser;
    this.clock = clock;
  }

  // Returns empty if every endpoint has been tried or gets no new work.
  Optional<EndpointSpec> pick(Target target, Set<EndpointName> tried) {
    long now = clock.nowMs();
    Map<EndpointName, EndpointSpec> specs = views.configuration().configuration().endpoints();
    List<RoutingCandidate> candidates =
        possible(target).stream()
            .filter(e -> !tried.contains(e))
            .map(specs::get)
            .filter(Objects::nonNull)
            .map(s -> views.loads().candidate(s, now))
            .toList();
    return chooser.choose(candidates, own, ThreadLocalRandom.current()).map(specs::get);
  }

  // True if the target's model has no replica left that may be tried.
  boolean mustWait(Target target) {
    return target.fold(
        c -> views.placement().ready(c.artifact()).isEmpty(), s -> false, l -> false);
  }

  private List<EndpointName> possible(Target target) {
    return target.fold(
        c -> views.placement().ready(c.artifact()), s -> s.spec().endpoints(), l -> List.of());
  }
}
